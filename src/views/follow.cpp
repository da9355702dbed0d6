#include <guavaline/views/follow.hpp>

#include <algorithm>

namespace guavaline {
namespace {

/// Parts of the bound on a view's age, in twentieths: a watch that is lost and
/// the call after it must fit into the bound.
constexpr int kWaitPart = 12;
constexpr int kStalePart = 17;
constexpr int kWhole = 20;
/// An entry that the store turns away asks it this often while others keep
/// its view current, or look for the store's return.
constexpr Millis kProbeWhileHearing{ 3'000 };
/// While calls fail they are short, so that the store's return shows soon.
constexpr Millis kWatchWhileLost{ 200 };
/// Registrations can lapse at the store only in outages longer than this.
constexpr Millis kShortOutage{ 1'000 };
/// Age of a view above which any target may have become cold unseen; longer
/// than evacuations are watched apart.
constexpr Millis kUnseenAge{ 4'500 };
/// Writes that waited for the store's return are in every view after it.
constexpr Millis kLateWrites{ 4'000 };
constexpr Millis kFirstBackoff{ 200 };
constexpr Millis kMaxBackoff{ 1'000 };

} // namespace

FollowTimes FollowTimesFor(Millis aBound) noexcept
{
  return { aBound * kWaitPart / kWhole, aBound * kStalePart / kWhole };
}

bool NoteCall(StoreAccess& aAccess, bool aWorked, TimePoint aNow) noexcept
{
  const bool changed = aWorked != aAccess.mConnected;
  aAccess.mConnected = aWorked;
  aAccess.mCalled = aNow;
  if (aWorked) {
    aAccess.mFailingSince.reset();
    aAccess.mBackoff = Millis(0);
    return changed;
  }
  if (!aAccess.mFailingSince) {
    aAccess.mFailingSince = aNow;
  }
  aAccess.mBackoff =
    std::clamp(aAccess.mBackoff * 2, kFirstBackoff, kMaxBackoff);
  return changed;
}

bool InOutage(const StoreAccess& aAccess, TimePoint aNow) noexcept
{
  return aAccess.mFailingSince && aNow - *aAccess.mFailingSince >= kShortOutage;
}

bool MayHaveMissed(TimePoint aConfirmed, TimePoint& aLastOld,
                   TimePoint aNow) noexcept
{
  if (aNow - aConfirmed > kUnseenAge) {
    aLastOld = aNow;
  }
  return aLastOld != TimePoint{} && aNow - aLastOld < kLateWrites;
}

Millis PauseAfterFailure(const StoreAccess& aAccess, const StoreAccess& aAll,
                         bool aProbes, TimePoint aNow) noexcept
{
  return aProbes || !InOutage(aAll, aNow) ? aAccess.mBackoff
                                          : kProbeWhileHearing;
}

Millis WatchWait(const StoreAccess& aAccess, const FollowTimes& aTimes) noexcept
{
  return aAccess.mConnected ? aTimes.mWait : kWatchWhileLost;
}

bool HearsEnough(const StoreAccess& aAccess, const FollowTimes& aTimes,
                 TimePoint aConfirmed, bool aWatches, TimePoint aNow) noexcept
{
  if (aNow - aConfirmed >= aTimes.mStaleAfter) {
    return false;
  }
  if (!aAccess.mConnected) {
    // Another entry has access where the view was confirmed meanwhile.
    return aConfirmed > aAccess.mFailingSince.value_or(aNow) &&
           aNow - aAccess.mCalled < kProbeWhileHearing;
  }
  return !aWatches;
}

} // namespace guavaline
