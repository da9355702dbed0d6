#pragma once

/// A view of the store's objects of one kind, which entries pass on to each
/// other: one entry of each region watches the store, all others hear from
/// these, and each falls back on the store when what it hears grows old.

#include <guavaline/core/time.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace guavaline {

/// An object, or the removal of one.
struct ObjectChange
{
  std::string mName;
  std::uint64_t mRevision = 0;
  bool mRemoved = false;
  std::string mSpec; ///< JSON text.
};

/// The epoch of a store that has never come back from an older copy of itself.
inline constexpr std::uint64_t kFirstEpoch = 1;

/// What an object was before a change; revision 0 where there was none.
struct PastState
{
  std::string mName;
  std::uint64_t mRevision = 0;
  std::uint64_t mSpecHash = 0;
};

/// An object of which a restored store says what it had said before. Until it
/// is written again, or for a while, what came after that stands.
struct Doubt
{
  std::optional<ObjectChange> mBelieved; ///< Nothing for no object.
  TimePoint mUntil{};
};

struct ObjectView
{
  /// The store's, in which its revisions compare.
  std::uint64_t mEpoch = kFirstEpoch;
  std::uint64_t mRevision = 0; ///< The store's, up to which it is whole.
  bool mListed = false;        ///< It has been whole in this life.
  TimePoint mConfirmed{};      ///< When the store last confirmed it.
  std::map<std::string, ObjectChange> mObjects; ///< By name.
  std::deque<ObjectChange> mRemovals;           ///< The last ones, in order.
  std::uint64_t mRemovalsFrom = 0;      ///< Removals after it are all held.
  std::deque<PastState> mPast;          ///< The last ones, in order.
  std::map<std::string, Doubt> mDoubts; ///< By name.
};

/// How long what a restored store says is doubted.
struct DoubtTimes
{
  Millis mPresent{ 0 }; ///< Of an object that had gone or changed since.
  Millis mAbsent{ 0 };  ///< Of one that had come since.
};

/// Takes in changes up to a revision.
/// @returns those that were new to the view
std::vector<ObjectChange> TakeChanges(ObjectView& aView,
                                      const std::vector<ObjectChange>& aChanges,
                                      std::uint64_t aRevision);

/// Takes in a whole listing; objects that are not on it are removed.
/// @returns what it changed
std::vector<ObjectChange> TakeListing(ObjectView& aView,
                                      const std::vector<ObjectChange>& aAll,
                                      std::uint64_t aRevision);

/// Takes in the first whole listing of a later epoch. What it says and had said
/// before, at an earlier time of the epochs that the view has seen, is doubted.
/// @returns what it changed for certain
std::vector<ObjectChange> TakeRestored(ObjectView& aView,
                                       const std::vector<ObjectChange>& aAll,
                                       std::uint64_t aEpoch,
                                       std::uint64_t aRevision,
                                       const DoubtTimes& aTimes,
                                       TimePoint aNow);

/// Ends doubts whose time is over: what the store says stands.
/// @returns what that changes
std::vector<ObjectChange> SettleDoubts(ObjectView& aView, TimePoint aNow);

/// @returns the changes after a revision; nothing where they are not all held
[[nodiscard]] std::optional<std::vector<ObjectChange>> ChangesSince(
  const ObjectView& aView, std::uint64_t aRevision);

/// Notes that the view was confirmed.
void Confirm(ObjectView& aView, TimePoint aWhen) noexcept;

/// @returns true for the entry of a region that watches the store for all
/// @param aLive  names of the region's live entries, the own one included
[[nodiscard]] bool IsWatcher(const std::string& aSelf,
                             const std::vector<std::string>& aLive);

/// @returns true for the few entries of a region that look for the store's
///          return on behalf of all
[[nodiscard]] bool IsProber(const std::string& aSelf,
                            const std::vector<std::string>& aLive);

} // namespace guavaline
