#pragma once

/// What operators are told of a planned drain before they announce it.

#include <guavaline/steering/shares.hpp>

#include <string>
#include <vector>

namespace guavaline {

/// One service's part in a drain.
struct DrainForecast
{
  std::string mService;
  WallTime mStart{};      ///< When traffic starts to move.
  WallTime mEnd{};        ///< When none is left.
  bool mFits = false;     ///< It starts no earlier than now.
  WallTime mEarliestBy{}; ///< The earliest time that could be kept.
  double mSlotsLeft = 0;  ///< Slots elsewhere over all slots, 0 to 1.
};

/// Works out how a drain would go beside those already announced.
/// @param aDrain  the drain; its scope must be a region
/// @param aNow    the present calendar time
[[nodiscard]] std::vector<DrainForecast> ForecastDrain(
  Configuration aConfiguration, const Drain& aDrain, WallTime aNow);

} // namespace guavaline
