#pragma once

/// Choice of the target for a request. Entries agree without talking on the
/// owners of each object (rendezvous hashing); among the owners and the
/// targets known to be warm, the one with the earliest expected end is taken.
/// Spilled requests of an object so meet at its next owner and find it warm.

#include <guavaline/placement/region_share.hpp>
#include <guavaline/placement/service_time.hpp>
#include <guavaline/registry/registry.hpp>
#include <guavaline/routing/routes.hpp>

#include <optional>
#include <set>
#include <string>

namespace guavaline {

/// A request to be placed.
struct PlacementRequest
{
  const Route& mRoute;
  const std::string& mService;
  std::uint64_t mKey = 0; ///< Hash of its object.
  TimePoint mDeadline;
  std::set<std::string> mExcluded; ///< Ids of targets that failed it.
  bool mReturning = false;         ///< Its caller was refused before.
  std::uint64_t mDraw = 0;         ///< Random; decides among equal candidates.
};

/// Requests a second that a cold target bears, from all entries together.
struct ColdBound
{
  double mRate = 1;  ///< Of the target's service.
  double mOver = 1;  ///< Factor on the rate, ...
  double mSlack = 0; ///< ... and requests on top of it.
};

/// What an entry knows when it places requests.
struct PlacementView
{
  const TargetRegistry& mRegistry;
  const RoundTrips& mTrips;
  const WarmTable& mWarm;
  const RunTimes& mRunTimes; ///< Of the request's route and service.
  ColdBound mCold;
  std::size_t mEntries = 1;       ///< Entries that share the targets.
  std::size_t mRegionEntries = 1; ///< Those of the own region.
  /// The view of the targets is old: any of them may have become cold.
  bool mUnseen = false;
  ShiftBound mShiftBound;
  bool mContended = false; ///< The service's targets may be short of room.
  /// When another entry of the region last sent its figures on loads.
  TimePoint mLoadsHeard{};
};

/// Why there is no target.
enum class PlacementRefusal {
  None = 1,
  NoTarget, ///< None may serve it.
  Full,     ///< All that should serve it have long queues.
  Limited,  ///< Those that should serve it take no more for a while.
  Paused,   ///< Those that should serve it want nothing for a while.
  Bound,    ///< There is room, but only beyond the bound on shifts between
            ///< regions.
  TooLate,  ///< It would not end before its deadline.
};

struct PlacementChoice
{
  TargetPtr mTarget;
  PlacementRefusal mRefusal = PlacementRefusal::None;
  Warmth mWarmth = Warmth::Unlikely;
  Millis mRoundTrip{ 0 };
  Millis mWait{ 0 };        ///< Expected in the target's queue.
  Millis mRun{ 0 };         ///< Expected without waiting.
  bool mFar = false;        ///< In another region than the entry.
  bool mPrefersFar = false; ///< Would be, without the bound on shifts.
  bool mStrict = false;     ///< The bound on shifts was strict.
  Millis mClearsIn{ 0 };    ///< When refused: when there should be room.
  /// Factor in mWait and mRun for the present speed of the target's host.
  double mRunFactor = 1;
};

/// Chooses a target.
[[nodiscard]] PlacementChoice ChooseOwner(const PlacementView& aView,
                                          const PlacementRequest& aRequest,
                                          TimePoint aNow);

/// @returns true where a cold target may get one more request from this
///          entry now; all entries together stay below its rate
[[nodiscard]] bool MaySendCold(const LiveTarget& aTarget,
                               const ColdBound& aBound, std::size_t aEntries,
                               TimePoint aNow) noexcept;

/// @returns true where a target that may have become cold unseen may get one
///          more request from this entry now; the entries of the region, which
///          send it most of its requests, stay below the bound together
[[nodiscard]] bool MaySendUnseen(const LiveTarget& aTarget,
                                 const ColdBound& aBound,
                                 std::size_t aRegionEntries,
                                 TimePoint aNow) noexcept;

} // namespace guavaline
