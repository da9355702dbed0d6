#pragma once

/// When an entry calls the store to keep a view current, and when it relies
/// on what other entries pass on.

#include <guavaline/core/time.hpp>

#include <optional>

namespace guavaline {

/// How views of one kind are kept current.
struct FollowTimes
{
  /// How long the store may hold a watch. An answer may be lost on the way
  /// without any sign, so that a watch must end well before the bound on how
  /// old a view may be.
  Millis mWait{ 0 };
  /// A view that was not confirmed for this long is followed at the store,
  /// whoever else watches.
  Millis mStaleAfter{ 0 };
};

/// @param aBound  how old a view may become
[[nodiscard]] FollowTimes FollowTimesFor(Millis aBound) noexcept;

/// How calls to the store about one kind of object go.
struct StoreAccess
{
  bool mConnected = true;                 ///< The last call worked.
  std::optional<TimePoint> mFailingSince; ///< Set while calls fail.
  TimePoint mCalled{};                    ///< When the last call ended.
  Millis mBackoff{ 0 };                   ///< Pause before the next call.
};

/// Notes how a call ended.
/// @returns true where access was lost or regained with it
bool NoteCall(StoreAccess& aAccess, bool aWorked, TimePoint aNow) noexcept;

/// @returns true where calls have failed for so long that registrations may
///          have lapsed meanwhile
[[nodiscard]] bool InOutage(const StoreAccess& aAccess,
                            TimePoint aNow) noexcept;

/// @returns true where a view is too old to rely on, and for a while after:
///          what operators and targets wanted to write during an outage takes
///          effect late, or is over before it was seen
/// @param aConfirmed  when the oldest of the views was last confirmed
/// @param aLastOld    when views were last too old; updated
[[nodiscard]] bool MayHaveMissed(TimePoint aConfirmed, TimePoint& aLastOld,
                                 TimePoint aNow) noexcept;

/// @returns the pause after a failed call about one kind of object
/// @param aAll     calls about all kinds
/// @param aProbes  this entry looks for the store's return for its region, by
///                 calls about this kind
[[nodiscard]] Millis PauseAfterFailure(const StoreAccess& aAccess,
                                       const StoreAccess& aAll, bool aProbes,
                                       TimePoint aNow) noexcept;

/// @returns how long the store may hold the next watch
[[nodiscard]] Millis WatchWait(const StoreAccess& aAccess,
                               const FollowTimes& aTimes) noexcept;

/// @returns true where other entries' word on a view will do for now
/// @param aConfirmed  when the store last confirmed the view to any entry
/// @param aWatches    this entry watches for its region
[[nodiscard]] bool HearsEnough(const StoreAccess& aAccess,
                               const FollowTimes& aTimes, TimePoint aConfirmed,
                               bool aWatches, TimePoint aNow) noexcept;

} // namespace guavaline
