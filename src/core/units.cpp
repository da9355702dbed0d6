#include <guavaline/core/units.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace guavaline {
namespace {

struct Unit
{
  std::string_view mSuffix;
  std::uint64_t mFactor;
};

// Largest first, so that formatting picks the largest whole unit.
constexpr std::array kDurationUnits{ Unit{ "d", 86'400'000 },
                                     Unit{ "h", 3'600'000 },
                                     Unit{ "m", 60'000 }, Unit{ "s", 1'000 },
                                     Unit{ "ms", 1 } };
constexpr std::array kRateUnits{ Unit{ "Gbit/s", 1'000'000'000 },
                                 Unit{ "Mbit/s", 1'000'000 },
                                 Unit{ "kbit/s", 1'000 }, Unit{ "bit/s", 1 } };
/// Longer times are taken as this, so that sums of times do not overflow.
constexpr Millis kLongestParsed{ 86'400'000 };
constexpr double kLargestQuantity = 4'503'599'627'370'496; // 2^52

bool IsDigit(char aChar) noexcept
{
  return aChar >= '0' && aChar <= '9';
}

/// Reads a number, whole or with a decimal fraction, and its unit. Rounds to
/// the smallest unit; what is more than zero never reads as zero.
template<std::size_t N>
std::optional<std::uint64_t> ParseQuantity(std::string_view aText,
                                           const std::array<Unit, N>& aUnits)
{
  double n = 0;
  const auto [end, ec] = std::from_chars(
    aText.data(), aText.data() + aText.size(), n, std::chars_format::fixed);
  if (ec != std::errc{} || !IsDigit(aText.front()) || !IsDigit(end[-1])) {
    return std::nullopt;
  }
  const auto suffix =
    aText.substr(static_cast<std::size_t>(end - aText.data()));
  for (const auto& it : aUnits) {
    if (it.mSuffix == suffix) {
      const double quantity = n * static_cast<double>(it.mFactor);
      if (quantity > kLargestQuantity) {
        return std::nullopt;
      }
      const double least = n > 0 ? 1 : 0;
      return static_cast<std::uint64_t>(std::max(std::round(quantity), least));
    }
  }
  return std::nullopt;
}

template<std::size_t N>
std::string FormatQuantity(std::uint64_t aValue,
                           const std::array<Unit, N>& aUnits)
{
  for (const auto& it : aUnits) {
    if (aValue % it.mFactor == 0 && (aValue > 0 || it.mFactor == 1)) {
      return std::to_string(aValue / it.mFactor) + std::string(it.mSuffix);
    }
  }
  return {};
}

} // namespace

std::string DecimalText(double aNumber, int aDigits)
{
  // The largest number has 309 digits before the point.
  std::array<char, 512> buf{};
  std::snprintf(buf.data(), buf.size(), "%.*f", aDigits, aNumber);
  return buf.data();
}

std::optional<Millis> ParseDuration(std::string_view aText)
{
  const auto n = ParseQuantity(aText, kDurationUnits);
  if (!n) {
    return std::nullopt;
  }
  return Millis(static_cast<Millis::rep>(*n));
}

std::optional<Millis> ParseMillis(std::string_view aText)
{
  Millis::rep n = 0;
  const auto read =
    std::from_chars(aText.data(), aText.data() + aText.size(), n);
  if (read.ec == std::errc::result_out_of_range) {
    return aText.front() == '-' ? std::nullopt : std::optional(kLongestParsed);
  }
  if (read.ec != std::errc{} || n < 0) {
    return std::nullopt;
  }
  return std::min(Millis(n), kLongestParsed);
}

std::string FormatDuration(Millis aDuration)
{
  return FormatQuantity(static_cast<std::uint64_t>(aDuration.count()),
                        kDurationUnits);
}

std::optional<BitRate> ParseBitRate(std::string_view aText)
{
  const auto n = ParseQuantity(aText, kRateUnits);
  if (!n) {
    return std::nullopt;
  }
  return BitRate{ *n };
}

std::string FormatBitRate(BitRate aRate)
{
  return FormatQuantity(aRate.mBitsPerSecond, kRateUnits);
}

std::optional<WallTime> ParseWallTime(std::string_view aText)
{
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hour = 0;
  int minute = 0;
  int second = 0;
  char zone = 0;
  char rest = 0;
  const std::string text(aText);
  // NOLINTNEXTLINE(cert-err34-c): the count and the ranges are checked below
  const int n =
    std::sscanf(text.c_str(), "%4d-%2u-%2uT%2d:%2d:%2d%c%c", &year, &month,
                &day, &hour, &minute, &second, &zone, &rest);
  const std::chrono::year_month_day date{ std::chrono::year(year),
                                          std::chrono::month(month),
                                          std::chrono::day(day) };
  if (n != 7 || zone != 'Z' || !date.ok()) {
    return std::nullopt;
  }
  if (hour < 0 || hour > 23 || minute < 0 || minute > 59 || second < 0 ||
      second > 59) {
    return std::nullopt;
  }
  return std::chrono::sys_days(date) + std::chrono::hours(hour) +
         std::chrono::minutes(minute) + std::chrono::seconds(second);
}

std::string FormatWallTime(WallTime aTime)
{
  const auto day = std::chrono::floor<std::chrono::days>(aTime);
  const std::chrono::year_month_day date{ day };
  const std::chrono::hh_mm_ss time{ aTime - day };
  std::array<char, 64> buf{};
  const int n = std::snprintf(
    buf.data(), buf.size(), "%04d-%02u-%02uT%02d:%02d:%02dZ",
    static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
    static_cast<unsigned>(date.day()), static_cast<int>(time.hours().count()),
    static_cast<int>(time.minutes().count()),
    static_cast<int>(time.seconds().count()));
  return { buf.data(), static_cast<std::size_t>(n) };
}

} // namespace guavaline
