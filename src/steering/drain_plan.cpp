#include <guavaline/steering/drain_plan.hpp>

#include <algorithm>

namespace guavaline {
namespace {

DrainForecast Forecast(const Configuration& aConfiguration,
                       const Service& aService, const Drain& aDrain,
                       WallTime aNow)
{
  DrainForecast out;
  out.mService = aService.mName;
  WallTime earliest = WallTime::max();
  for (const auto& it : ScheduleDrains(aConfiguration, aService)) {
    earliest = std::min(earliest, it.mStart);
    if (it.mName == aDrain.mName) {
      out.mStart = it.mStart;
    }
  }
  // Drains are scheduled so that each has room; the first of them shows
  // whether all still fit.
  out.mFits = earliest >= aNow;
  out.mEnd = aDrain.mBy;
  out.mEarliestBy = out.mFits ? aNow + (aDrain.mBy - out.mStart)
                              : aDrain.mBy + (aNow - earliest);
  double all = 0;
  double left = 0;
  for (const auto& it : aConfiguration.mRegions) {
    const auto n = static_cast<double>(RegionSlots(aService, it.mName));
    all += n;
    left += it.mName == aDrain.mPlace ? 0 : n;
  }
  out.mSlotsLeft = all > 0 ? left / all : 0;
  return out;
}

} // namespace

std::vector<DrainForecast> ForecastDrain(Configuration aConfiguration,
                                         const Drain& aDrain, WallTime aNow)
{
  std::erase_if(aConfiguration.mDrains, [&](const Drain& a) {
    return a.mName == aDrain.mName || a.mUntil <= aNow || a.mBy <= aNow;
  });
  aConfiguration.mDrains.push_back(aDrain);
  std::vector<DrainForecast> out;
  for (const auto& it : aConfiguration.mServices) {
    out.push_back(Forecast(aConfiguration, it, aDrain, aNow));
  }
  return out;
}

} // namespace guavaline
