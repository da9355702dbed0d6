#pragma once

/// The targets that may serve, as they register themselves. A target that
/// leaves or vanishes gets no new work at once; one whose registration lapsed
/// while the registry itself was unreachable keeps its work for a grace
/// period in which it can come back.

#include <guavaline/core/time.hpp>
#include <guavaline/crashes/run_watch.hpp>
#include <guavaline/placement/load.hpp>
#include <guavaline/placement/rate_limit.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace guavaline {

/// What a target says of itself.
struct Registration
{
  std::string mId;
  std::string mService;
  std::string mAddress; ///< "IP:PORT".
  std::string mFailureDomain;
  std::uint32_t mSlots = 0;
  bool mDraining = false;
  Millis mColdLeft{ 0 };     ///< How much longer it stays cold.
  std::int64_t mStarted = 0; ///< Start in Unix milliseconds; tells lives apart.
};

/// One life of a target; requests in flight keep it alive after its removal.
struct LiveTarget : boost::intrusive_ref_counter<LiveTarget>
{
  Registration mRegistration;
  std::string mRegion;
  std::uint64_t mHash = 0; ///< Of the id, for rendezvous hashing.
  std::uint64_t mLife = 0; ///< Hash of the id and its present life.
  TimePoint mColdUntil{};
  TimePoint mColdSince{}; ///< When it was first seen cold, in this spell.
  /// This entry's place among all that may send to it while it is cold, from 0
  /// to less than 1.
  double mColdTurn = 0;
  /// Until when it may be used although its registration has lapsed.
  std::optional<TimePoint> mLapsesAt;
  /// Set once it left, drains, or another process answers at its address.
  bool mLeft = false;
  /// It takes nothing from this entry until then, as it said in an answer.
  TimePoint mPausedUntil{};
  RunWatch mRuns;
  TargetLoad mLoad;
  RateLimit mLimit;
};

using TargetPtr = boost::intrusive_ptr<LiveTarget>;

/// Failure domains and the regions they lie in.
using DomainMap = std::map<std::string, std::string>;

struct TargetRegistry
{
  DomainMap mDomains;
  std::map<std::string, TargetPtr> mTargets; ///< By id.
  std::map<std::string, std::vector<TargetPtr>> mByService;
  std::set<std::string> mEvacuated; ///< Failure domains that get no work.
  std::map<std::string, TimePoint> mReturned; ///< Ends of evacuations.
  TimePoint mTroubleUntil{}; ///< Lapses until then may be false.
  TimePoint mChanged{};      ///< When a target or domain last came or went.
  /// Lives that said that they leave; they stay out if they register again.
  std::deque<std::uint64_t> mLeftLives;
};

/// What a change did to a target.
enum class RegistryChange {
  None = 1,
  Joined,
  Restarted, ///< A new life under the same id.
  Draining,
  Lapsed, ///< Missing; kept for the grace period.
  Left,
};

/// How long a lapsed registration may be kept after trouble of the registry.
/// From the platform's pages: entries are back two seconds after its return.
inline constexpr Millis kLapseGrace{ 2'000 };

/// Takes in a registration.
RegistryChange TakeRegistration(TargetRegistry& aRegistry,
                                const Registration& aRegistration,
                                TimePoint aNow);

/// Takes in that a registration is gone.
RegistryChange TakeRemoval(TargetRegistry& aRegistry, const std::string& aId,
                           TimePoint aNow);

/// @returns true where a target has said that it leaves
[[nodiscard]] bool HasSaidLeaving(const TargetRegistry& aRegistry,
                                  const LiveTarget& aTarget);

/// Notes that a target said in an answer that it leaves.
/// @returns true where that is new
bool NoteSaidLeaving(TargetRegistry& aRegistry, LiveTarget& aTarget,
                     TimePoint aNow);

/// Longest time for which a target that wants nothing is left alone.
inline constexpr Millis kMaxPause{ 3'600'000 };

/// Notes that a target wants nothing from this entry for a time, which is cut
/// to kMaxPause. Entries come back one after another, within an eighth of the
/// time, a second at most.
/// @param aEntry  hash of this entry
/// @returns true where it has begun a pause or made one longer
bool NotePause(LiveTarget& aTarget, Millis aTime, std::uint64_t aEntry,
               TimePoint aNow) noexcept;

/// @returns how much longer a target wants nothing from this entry
[[nodiscard]] Millis PausedFor(const LiveTarget& aTarget,
                               TimePoint aNow) noexcept;

/// Sets which region each failure domain lies in.
void SetDomains(TargetRegistry& aRegistry, DomainMap aDomains);

/// Notes that the registry could not be reached until now.
void NoteRegistryTrouble(TargetRegistry& aRegistry, TimePoint aNow) noexcept;

/// Takes in that a failure domain is to be emptied, or serves again.
/// @returns true where that is new
bool TakeEvacuation(TargetRegistry& aRegistry, const std::string& aDomain,
                    bool aEmptied, TimePoint aNow);

/// Removes targets whose grace period has ended.
void ForgetLapsed(TargetRegistry& aRegistry, TimePoint aNow);

/// @returns true where new work may go to a target
[[nodiscard]] bool MayServe(const TargetRegistry& aRegistry,
                            const LiveTarget& aTarget, TimePoint aNow);

} // namespace guavaline
