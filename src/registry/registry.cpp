#include <guavaline/registry/registry.hpp>

#include <guavaline/core/hash.hpp>

#include <algorithm>

namespace guavaline {
namespace {

constexpr std::size_t kMaxLeftLives = 1'024;
/// Part of a pause within which entries come back, and its bound.
constexpr int kPauseSpreadPart = 8;
constexpr Millis kMaxPauseSpread{ 1'000 };

bool HasLeft(const TargetRegistry& aRegistry, std::uint64_t aLife)
{
  const auto& lives = aRegistry.mLeftLives;
  return std::find(lives.begin(), lives.end(), aLife) != lives.end();
}

/// Keeps out a life that has said that it leaves.
void NoteLeftLife(TargetRegistry& aRegistry, std::uint64_t aLife)
{
  if (HasLeft(aRegistry, aLife)) {
    return;
  }
  aRegistry.mLeftLives.push_back(aLife);
  if (aRegistry.mLeftLives.size() > kMaxLeftLives) {
    aRegistry.mLeftLives.pop_front();
  }
}

void Remove(TargetRegistry& aRegistry, const std::string& aId)
{
  const auto it = aRegistry.mTargets.find(aId);
  if (it == aRegistry.mTargets.end()) {
    return;
  }
  it->second->mLeft = true;
  auto& list = aRegistry.mByService[it->second->mRegistration.mService];
  std::erase(list, it->second);
  aRegistry.mTargets.erase(it);
}

std::string RegionOf(const TargetRegistry& aRegistry,
                     const std::string& aDomain)
{
  const auto it = aRegistry.mDomains.find(aDomain);
  return it == aRegistry.mDomains.end() ? std::string() : it->second;
}

void SetCold(LiveTarget& aTarget, Millis aLeft, TimePoint aNow) noexcept
{
  if (aNow >= aTarget.mColdUntil) {
    aTarget.mColdSince = aNow;
  }
  aTarget.mColdUntil = aNow + aLeft;
}

void Add(TargetRegistry& aRegistry, const Registration& aRegistration,
         TimePoint aNow)
{
  TargetPtr target(new LiveTarget);
  target->mRegistration = aRegistration;
  target->mHash = Hash(aRegistration.mId);
  target->mLife =
    HashPair(target->mHash, static_cast<std::uint64_t>(aRegistration.mStarted));
  SetCold(*target, aRegistration.mColdLeft, aNow);
  if (aRegistration.mDraining) {
    NoteLeftLife(aRegistry, target->mLife);
  }
  target->mLeft = HasLeft(aRegistry, target->mLife);
  target->mRegion = RegionOf(aRegistry, aRegistration.mFailureDomain);
  aRegistry.mByService[aRegistration.mService].push_back(target);
  aRegistry.mTargets[aRegistration.mId] = std::move(target);
}

bool IsOtherLife(const Registration& aOld, const Registration& aNew)
{
  return aOld.mStarted != aNew.mStarted || aOld.mAddress != aNew.mAddress ||
         aOld.mService != aNew.mService;
}

} // namespace

RegistryChange TakeRegistration(TargetRegistry& aRegistry,
                                const Registration& aRegistration,
                                TimePoint aNow)
{
  const auto it = aRegistry.mTargets.find(aRegistration.mId);
  if (it == aRegistry.mTargets.end()) {
    Add(aRegistry, aRegistration, aNow);
    aRegistry.mChanged = aNow;
    return RegistryChange::Joined;
  }
  auto& target = *it->second;
  if (IsOtherLife(target.mRegistration, aRegistration)) {
    Remove(aRegistry, aRegistration.mId);
    Add(aRegistry, aRegistration, aNow);
    aRegistry.mChanged = aNow;
    return RegistryChange::Restarted;
  }
  const bool drains = aRegistration.mDraining && !target.mLeft;
  if (drains) {
    NoteLeftLife(aRegistry, target.mLife);
  }
  aRegistry.mChanged = drains ? aNow : aRegistry.mChanged;
  target.mRegistration = aRegistration;
  target.mLapsesAt.reset();
  target.mLeft = target.mLeft || aRegistration.mDraining;
  SetCold(target, aRegistration.mColdLeft, aNow);
  return drains ? RegistryChange::Draining : RegistryChange::None;
}

RegistryChange TakeRemoval(TargetRegistry& aRegistry, const std::string& aId,
                           TimePoint aNow)
{
  const auto it = aRegistry.mTargets.find(aId);
  if (it == aRegistry.mTargets.end()) {
    return RegistryChange::None;
  }
  auto& target = *it->second;
  aRegistry.mChanged = aNow;
  if (aNow < aRegistry.mTroubleUntil && !target.mLeft) {
    if (!target.mLapsesAt) {
      target.mLapsesAt = aRegistry.mTroubleUntil;
    }
    return RegistryChange::Lapsed;
  }
  Remove(aRegistry, aId);
  return RegistryChange::Left;
}

bool HasSaidLeaving(const TargetRegistry& aRegistry, const LiveTarget& aTarget)
{
  return HasLeft(aRegistry, aTarget.mLife);
}

bool NoteSaidLeaving(TargetRegistry& aRegistry, LiveTarget& aTarget,
                     TimePoint aNow)
{
  const bool fresh = !HasLeft(aRegistry, aTarget.mLife);
  NoteLeftLife(aRegistry, aTarget.mLife);
  aTarget.mLeft = true;
  aRegistry.mChanged = fresh ? aNow : aRegistry.mChanged;
  return fresh;
}

bool NotePause(LiveTarget& aTarget, Millis aTime, std::uint64_t aEntry,
               TimePoint aNow) noexcept
{
  const auto time = std::clamp(aTime, Millis(0), kMaxPause);
  const auto spread = std::min(time / kPauseSpreadPart, kMaxPauseSpread);
  const auto part =
    static_cast<Millis::rep>(HashPair(aEntry, aTarget.mLife) %
                             static_cast<std::uint64_t>(spread.count() + 1));
  const auto until = aNow + time + Millis(part);
  if (time == Millis(0) || until <= aTarget.mPausedUntil) {
    return false;
  }
  aTarget.mPausedUntil = until;
  return true;
}

Millis PausedFor(const LiveTarget& aTarget, TimePoint aNow) noexcept
{
  return aNow < aTarget.mPausedUntil
           ? std::chrono::ceil<Millis>(aTarget.mPausedUntil - aNow)
           : Millis(0);
}

void SetDomains(TargetRegistry& aRegistry, DomainMap aDomains)
{
  aRegistry.mDomains = std::move(aDomains);
  for (const auto& [id, target] : aRegistry.mTargets) {
    target->mRegion = RegionOf(aRegistry, target->mRegistration.mFailureDomain);
  }
}

void NoteRegistryTrouble(TargetRegistry& aRegistry, TimePoint aNow) noexcept
{
  aRegistry.mTroubleUntil = aNow + kLapseGrace;
}

bool TakeEvacuation(TargetRegistry& aRegistry, const std::string& aDomain,
                    bool aEmptied, TimePoint aNow)
{
  aRegistry.mChanged = aNow;
  if (aEmptied) {
    return aRegistry.mEvacuated.insert(aDomain).second;
  }
  aRegistry.mReturned[aDomain] = aNow;
  return aRegistry.mEvacuated.erase(aDomain) > 0;
}

void ForgetLapsed(TargetRegistry& aRegistry, TimePoint aNow)
{
  std::vector<std::string> ended;
  for (const auto& [id, target] : aRegistry.mTargets) {
    if (target->mLapsesAt && *target->mLapsesAt <= aNow) {
      ended.push_back(id);
    }
  }
  for (const auto& it : ended) {
    Remove(aRegistry, it);
  }
}

bool MayServe(const TargetRegistry& aRegistry, const LiveTarget& aTarget,
              TimePoint aNow)
{
  return !aTarget.mLeft && (!aTarget.mLapsesAt || aNow < *aTarget.mLapsesAt) &&
         aRegistry.mEvacuated.count(aTarget.mRegistration.mFailureDomain) == 0;
}

} // namespace guavaline
