#include <guavaline/core/units.hpp>

#include <criterion/criterion.h>

using namespace guavaline;
using namespace std::chrono_literals;

Test(units, durations_need_their_unit)
{
  cr_assert_eq(*ParseDuration("250ms"), Millis(250));
  cr_assert_eq(*ParseDuration("2h"), Millis(7'200'000));
  for (const auto* it :
       { "", "5", "5 s", "-5s", "s", "5sec", "1.s", ".5s", "1..5s", "1.5.5s",
         "1,5s", "1e3s", "+1s", "infs", "nans", "1.5", "99999999999999999999s",
         "9999999999999d" }) {
    cr_assert_not(ParseDuration(it).has_value(), "%s", it);
  }
}

Test(units, durations_may_have_a_decimal_fraction)
{
  // Settings with "2.5s", as the platform writes times, kept every process from
  // starting, and a cold time of "2.5s" was read as none.
  cr_assert_eq(*ParseDuration("2.5s"), 2'500ms);
  cr_assert_eq(*ParseDuration("0.3s"), 300ms);
  cr_assert_eq(*ParseDuration("1500.0ms"), 1'500ms);
  cr_assert_eq(*ParseDuration("1.5m"), 90s);
  cr_assert_eq(*ParseDuration("0.30000000000000004s"), 300ms);
  // What is more than nothing is no "none".
  cr_assert_eq(*ParseDuration("0.2ms"), 1ms);
  cr_assert_eq(*ParseDuration("0.0s"), 0ms);
  cr_assert_eq(ParseBitRate("2.5Gbit/s")->mBitsPerSecond, 2'500'000'000U);
}

Test(units, time_limits_of_callers_do_not_overflow)
{
  cr_assert_eq(*ParseMillis("1500"), 1'500ms);
  cr_assert_eq(*ParseMillis("1500.7"), 1'500ms);
  cr_assert_eq(*ParseMillis("0"), 0ms);
  for (const auto* it : { "9223372036854775807", "99999999999999999999" }) {
    cr_assert_eq(*ParseMillis(it), 24h);
  }
  for (const auto* it : { "", "x", "-1", "-99999999999999999999" }) {
    cr_assert_not(ParseMillis(it).has_value(), "%s", it);
  }
}

Test(units, durations_read_back)
{
  for (const auto it : { 0ms, 1ms, 1'000ms, 1'500ms, 60'000ms, 86'400'000ms }) {
    cr_assert_eq(*ParseDuration(FormatDuration(it)), it);
  }
}

Test(units, rates_need_their_unit)
{
  cr_assert_eq(ParseBitRate("280Mbit/s")->mBitsPerSecond, 280'000'000U);
  cr_assert_not(ParseBitRate("280").has_value());
  cr_assert_not(ParseBitRate("4Gb").has_value());
  cr_assert_eq(FormatBitRate({ 4'000'000'000 }), "4Gbit/s");
}

Test(units, times_are_utc_and_real)
{
  const auto time = ParseWallTime("2026-12-20T18:00:00Z");
  cr_assert_eq(FormatWallTime(*time), "2026-12-20T18:00:00Z");
  for (const auto* it :
       { "", "tomorrow", "2026-12-20", "2026-13-01T00:00:00Z",
         "2026-02-30T00:00:00Z", "2026-12-20T24:00:00Z", "2026-12-20T18:00:00",
         "2026-12-20T18:00:00+1", "2026-12-20T18:00:00Zx" }) {
    cr_assert_not(ParseWallTime(it).has_value(), "%s", it);
  }
}

// Logs, Retry-After and the pages of `guavaline where` rely on these forms.
Test(units, decimals_keep_their_digits_and_large_numbers_are_whole)
{
  cr_assert_eq(DecimalText(1.25, 3), "1.250");
  cr_assert_eq(DecimalText(-0.06, 1), "-0.1");
  cr_assert_eq(DecimalText(1e40, 0).size(), 41U);
}
