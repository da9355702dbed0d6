#include <guavaline/steering/shares.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace guavaline {
namespace {

constexpr double kPercent = 100;
/// Hosts' clocks may be this far apart.
constexpr Seconds kClockBound{ 2 };
/// Longest gap that counts as time to move shares in.
constexpr Millis kLongestStep{ 1'000 };
constexpr double kNegligible = 1e-9;

std::size_t RegionIndex(const Configuration& aConfiguration,
                        const std::string& aName) noexcept
{
  const auto& list = aConfiguration.mRegions;
  const auto it = std::find_if(list.begin(), list.end(), [&](const Region& a) {
    return a.mName == aName;
  });
  return static_cast<std::size_t>(it - list.begin());
}

/// Time that a move of all traffic takes under the cap.
Seconds FullMoveTime(const ShiftCap& aCap) noexcept
{
  const auto windows = 1.0 / aCap.mShare;
  const std::chrono::duration<double> time =
    std::chrono::duration<double>(aCap.mWindow) * windows;
  return std::chrono::ceil<Seconds>(time);
}

double AllowanceFor(const ShiftCap& aCap, Millis aTime) noexcept
{
  return aCap.mShare * static_cast<double>(aTime.count()) /
         static_cast<double>(aCap.mWindow.count());
}

std::vector<WallTime> PlanEvents(const std::vector<DrainSchedule>& aSchedule)
{
  std::vector<WallTime> out;
  for (const auto& it : aSchedule) {
    out.push_back(it.mStart);
    out.push_back(it.mUntil);
  }
  std::sort(out.begin(), out.end());
  return out;
}

RegionFactors FactorsFrom(const Configuration& aConfiguration,
                          const std::vector<DrainSchedule>& aSchedule,
                          WallTime aNow)
{
  RegionFactors out(aConfiguration.mRegions.size(), 1.0);
  for (const auto& it : aSchedule) {
    if (aNow >= it.mStart && aNow < it.mUntil) {
      out[it.mRegion] = 0;
    }
  }
  return out;
}

std::vector<std::string> RegionNames(const Configuration& aConfiguration)
{
  std::vector<std::string> out;
  for (const auto& it : aConfiguration.mRegions) {
    out.push_back(it.mName);
  }
  return out;
}

/// @returns values by region in the order of other regions; 0 for those that
///          had none
std::vector<double> InOrderOf(const std::vector<std::string>& aRegions,
                              const std::vector<double>& aValues,
                              const std::vector<std::string>& aValuesOf)
{
  std::vector<double> out(aRegions.size(), 0.0);
  for (std::size_t n = 0; n < aValues.size(); ++n) {
    const auto it = std::find(aRegions.begin(), aRegions.end(), aValuesOf[n]);
    if (it != aRegions.end()) {
      out[static_cast<std::size_t>(it - aRegions.begin())] = aValues[n];
    }
  }
  return out;
}

} // namespace

ShiftCap CapOf(const Service& aService) noexcept
{
  return { aService.mShiftCapPercent / kPercent, aService.mShiftCapWindow };
}

Shares DesiredShares(const Configuration& aConfiguration,
                     const Service& aService, std::size_t aHome,
                     const RegionFactors& aFactors)
{
  const auto& regions = aConfiguration.mRegions;
  Shares out(regions.size(), 0.0);
  const auto capacity = [&](std::size_t aRegion) {
    return static_cast<double>(RegionSlots(aService, regions[aRegion].mName)) *
           aFactors[aRegion];
  };
  const bool homeServes = capacity(aHome) > 0;
  double others = 0;
  for (std::size_t n = 0; n < regions.size(); ++n) {
    others += n == aHome ? 0 : capacity(n);
  }
  if (others <= 0) {
    out[aHome] = 1;
    return out;
  }
  out[aHome] = homeServes ? std::min(1.0, aFactors[aHome]) : 0;
  const double moved = 1 - out[aHome];
  for (std::size_t n = 0; n < regions.size(); ++n) {
    if (n != aHome) {
      out[n] = moved * capacity(n) / others;
    }
  }
  return out;
}

double ShiftBetween(const Shares& aFirst, const Shares& aSecond) noexcept
{
  double out = 0;
  for (std::size_t n = 0; n < aFirst.size(); ++n) {
    out += std::max(0.0, aSecond[n] - aFirst[n]);
  }
  return out;
}

Shares MoveShares(const Shares& aFrom, const Shares& aGoal, double aMost)
{
  const auto shift = ShiftBetween(aFrom, aGoal);
  if (shift <= aMost || shift < kNegligible) {
    return aGoal;
  }
  Shares out = aFrom;
  const auto part = aMost / shift;
  for (std::size_t n = 0; n < out.size(); ++n) {
    out[n] += part * (aGoal[n] - aFrom[n]);
  }
  return out;
}

void Advance(ShareState& aState, const Shares& aGoal, const ShiftCap& aCap,
             TimePoint aNow)
{
  const auto passed = std::chrono::duration_cast<Millis>(aNow - aState.mMoved);
  if (passed.count() <= 0) {
    return;
  }
  aState.mMoved += passed;
  aState.mShares = MoveShares(
    aState.mShares, aGoal, AllowanceFor(aCap, std::min(passed, kLongestStep)));
}

void FitShares(ShareState& aState, const Configuration& aConfiguration,
               const Shares& aPlanned, TimePoint aNow)
{
  const auto names = RegionNames(aConfiguration);
  if (aState.mRegions == names) {
    return;
  }
  if (aState.mShares.empty()) {
    aState.mMoved = aNow;
  }
  auto shares = InOrderOf(names, aState.mShares, aState.mRegions);
  const double lost = 1 - std::accumulate(shares.begin(), shares.end(), 0.0);
  for (std::size_t n = 0; n < shares.size(); ++n) {
    shares[n] += std::max(0.0, lost) * aPlanned[n];
  }
  aState.mCredit.resize(aState.mRegions.size(), 0.0);
  aState.mCredit = InOrderOf(names, aState.mCredit, aState.mRegions);
  aState.mShares = std::move(shares);
  aState.mRegions = names;
}

std::size_t PickRegion(ShareState& aState)
{
  aState.mCredit.resize(aState.mShares.size(), 0.0);
  std::size_t best = 0;
  for (std::size_t n = 0; n < aState.mShares.size(); ++n) {
    aState.mCredit[n] += aState.mShares[n];
    if (aState.mShares[n] <= kNegligible) {
      aState.mCredit[n] = std::min(aState.mCredit[n], 0.0);
      continue;
    }
    if (aState.mShares[best] <= kNegligible ||
        aState.mCredit[n] > aState.mCredit[best]) {
      best = n;
    }
  }
  aState.mCredit[best] -= 1;
  return best;
}

std::vector<DrainSchedule> ScheduleDrains(const Configuration& aConfiguration,
                                          const Service& aService)
{
  std::vector<DrainSchedule> out;
  for (const auto& it : aConfiguration.mDrains) {
    if (it.mScope == DrainScope::Region) {
      out.push_back({ it.mName, RegionIndex(aConfiguration, it.mPlace), it.mBy,
                      it.mBy, it.mUntil });
    }
  }
  std::sort(out.begin(), out.end(),
            [](const auto& a, const auto& b) { return a.mBy < b.mBy; });
  const auto needed = FullMoveTime(CapOf(aService)) + kClockBound;
  // From the last to the first, so that moves do not overlap.
  for (std::size_t n = out.size(); n-- > 0;) {
    auto end = out[n].mBy;
    if (n + 1 < out.size()) {
      end = std::min(end, out[n + 1].mStart);
    }
    out[n].mStart = end - needed;
  }
  return out;
}

RegionFactors PlannedFactors(const Configuration& aConfiguration,
                             const Service& aService, WallTime aNow)
{
  return FactorsFrom(aConfiguration, ScheduleDrains(aConfiguration, aService),
                     aNow);
}

Shares PlannedShares(const Configuration& aConfiguration,
                     const Service& aService, std::size_t aHome, WallTime aNow)
{
  const auto schedule = ScheduleDrains(aConfiguration, aService);
  const auto cap = CapOf(aService);
  auto shares =
    DesiredShares(aConfiguration, aService, aHome,
                  RegionFactors(aConfiguration.mRegions.size(), 1.0));
  const auto events = PlanEvents(schedule);
  for (std::size_t n = 0; n < events.size() && events[n] < aNow; ++n) {
    const auto end =
      n + 1 < events.size() ? std::min(aNow, events[n + 1]) : aNow;
    const auto goal =
      DesiredShares(aConfiguration, aService, aHome,
                    FactorsFrom(aConfiguration, schedule, events[n]));
    shares =
      MoveShares(shares, goal, AllowanceFor(cap, Millis(end - events[n])));
  }
  return shares;
}

bool IsDrained(const Configuration& aConfiguration, DrainScope aScope,
               const std::string& aPlace, WallTime aNow) noexcept
{
  for (const auto& it : aConfiguration.mDrains) {
    const bool inForce = aNow + kClockBound >= it.mBy && aNow < it.mUntil;
    if (it.mScope == aScope && it.mPlace == aPlace && inForce) {
      return true;
    }
  }
  return false;
}

} // namespace guavaline
