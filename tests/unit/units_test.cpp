#include <guavaline/core/units.hpp>

#include <criterion/criterion.h>

using namespace guavaline;
using namespace std::chrono_literals;

Test(units, durations_need_their_unit)
{
  cr_assert_eq(*ParseDuration("250ms"), Millis(250));
  cr_assert_eq(*ParseDuration("2h"), Millis(7'200'000));
  for (const auto* it : { "", "5", "5 s", "-5s", "1.5s", "s", "5sec",
                          "99999999999999999999s", "9999999999999d" }) {
    cr_assert_not(ParseDuration(it).has_value(), "%s", it);
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
