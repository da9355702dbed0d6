#pragma once

/// Quantities as they are written in settings: durations, rates, times.

#include <guavaline/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace guavaline {

/// A data rate.
struct BitRate
{
  std::uint64_t mBitsPerSecond = 0;

  bool operator==(const BitRate&) const = default;
};

/// @returns a number in decimal notation
/// @param aDigits  digits behind the point
[[nodiscard]] std::string DecimalText(double aNumber, int aDigits);

/// Reads a duration such as "250ms", "2.5s", "15m", "2h" or "7d", to the
/// millisecond.
/// @returns nothing where the unit is missing or unknown
[[nodiscard]] std::optional<Millis> ParseDuration(std::string_view aText);

/// Reads a count of milliseconds as callers' time limits have it; what follows
/// the whole number is ignored.
/// @returns at most a day; nothing where there is no number
[[nodiscard]] std::optional<Millis> ParseMillis(std::string_view aText);

/// Writes a duration in its largest whole unit.
[[nodiscard]] std::string FormatDuration(Millis aDuration);

/// Reads a rate such as "280Mbit/s" or "2.5Gbit/s".
[[nodiscard]] std::optional<BitRate> ParseBitRate(std::string_view aText);

/// Writes a rate in its largest whole unit.
[[nodiscard]] std::string FormatBitRate(BitRate aRate);

/// Reads a UTC time such as "2026-12-20T18:00:00Z".
[[nodiscard]] std::optional<WallTime> ParseWallTime(std::string_view aText);

/// Writes a UTC time in the form that ParseWallTime reads.
[[nodiscard]] std::string FormatWallTime(WallTime aTime);

} // namespace guavaline
