#include <guavaline/admission/planned_stop.hpp>

namespace guavaline {
namespace {

/// Part of the stop time in which new requests are still taken.
constexpr int kStopPart = 2;

} // namespace

bool TakesWhileStopping(Millis aSince, Millis aStopTime, Millis aLimit) noexcept
{
  if (aSince > aStopTime / kStopPart) {
    return false;
  }
  return aSince <= kLeaveTime || aSince + aLimit <= aStopTime - kStopMargin;
}

} // namespace guavaline
