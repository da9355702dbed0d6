#pragma once

/// Which requests are taken during a planned stop.

#include <guavaline/core/time.hpp>

namespace guavaline {

/// Callers go on for this long after an entry left the look-ups, from the time
/// that they keep answers.
inline constexpr Millis kLeaveTime{ 3'000 };
/// Left of the stop time when the process ends, however much is in flight.
inline constexpr Millis kStopMargin{ 300 };

/// Callers that come after the leave time have other entries: what might still
/// be at work when the process ends is left to those.
/// @param aSince     time since the stop began
/// @param aStopTime  time from the stop's begin to the process's end
/// @param aLimit     time that the request may take
/// @returns true where a request is still taken
[[nodiscard]] bool TakesWhileStopping(Millis aSince, Millis aStopTime,
                                      Millis aLimit) noexcept;

} // namespace guavaline
