#pragma once

/// Time types shared by every slice.

#include <chrono>
#include <string>

namespace guavaline {

/// Monotonic clock; every duration and lease is measured with it.
using Clock = std::chrono::steady_clock;
/// A point on the monotonic clock of one process.
using TimePoint = Clock::time_point;
/// A point in calendar time; used only for announced drains.
using WallTime = std::chrono::sys_seconds;

using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// @returns the number of milliseconds, for logs and headers
[[nodiscard]] inline std::string MillisText(Millis aTime)
{
  return std::to_string(aTime.count());
}

} // namespace guavaline
