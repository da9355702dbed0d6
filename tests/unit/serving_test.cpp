#include <guavaline/roster/serving.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };

/// Entries of one failure domain: first some large ones, then small ones.
void AddDomain(std::vector<ServingCandidate>& aOut, const std::string& aDomain,
               int aLarge, int aSmall)
{
  for (int n = 0; n < aLarge + aSmall; ++n) {
    aOut.push_back({ aDomain + "-" + std::to_string(n), aDomain,
                     n < aLarge ? 400.0 : 80.0 });
  }
}

/// A region of hundreds of hosts: three failure domains with a few large
/// hosts each.
std::vector<ServingCandidate> LargeRegion()
{
  std::vector<ServingCandidate> out;
  AddDomain(out, "a", 3, 19);
  AddDomain(out, "b", 3, 19);
  AddDomain(out, "c", 3, 17);
  return out;
}

std::size_t CountIn(const std::vector<std::string>& aNames,
                    const std::string& aDomain)
{
  return static_cast<std::size_t>(
    std::count_if(aNames.begin(), aNames.end(), [&](const std::string& a) {
      return a.rfind(aDomain + "-", 0) == 0;
    }));
}

} // namespace

Test(serving, a_steady_load_meets_few_large_entries_of_every_domain)
{
  // Load: 730 requests a second on 64 hosts, so that an entry of them all
  // would meet the same target once in a minute.
  const auto names = ChooseServing(LargeRegion(), 730);
  cr_assert_leq(names.size(), 12U);
  for (const auto* it : { "a", "b", "c" }) {
    cr_assert_geq(CountIn(names, it), 2U);
  }
}

Test(serving, no_entry_is_led_beyond_a_part_of_what_it_bears)
{
  const auto live = LargeRegion();
  for (const double peak : { 100.0, 730.0, 1'200.0, 1'500.0, 5'000.0 }) {
    const auto names = ChooseServing(live, peak);
    const std::set<std::string> named(names.begin(), names.end());
    double least = 400;
    for (const auto& it : live) {
      least = named.count(it.mName) > 0 ? std::min(least, it.mCapacity) : least;
    }
    const double each = peak / static_cast<double>(names.size());
    cr_assert(names.size() == live.size() || each <= least / 2);
  }
}

Test(serving, a_small_region_serves_with_all_of_its_entries)
{
  std::vector<ServingCandidate> live;
  AddDomain(live, "a", 0, 2);
  AddDomain(live, "b", 0, 2);
  cr_assert_eq(ChooseServing(live, 1).size(), 4U);
}

Test(serving, an_idle_region_keeps_a_quarter_of_equal_entries)
{
  std::vector<ServingCandidate> live;
  AddDomain(live, "a", 0, 20);
  AddDomain(live, "b", 0, 20);
  const auto names = ChooseServing(live, 0);
  cr_assert_geq(names.size(), 10U);
  cr_assert_leq(names.size(), 12U);
}

Test(serving, losing_a_domain_leads_callers_to_the_others)
{
  auto live = LargeRegion();
  std::erase_if(
    live, [](const ServingCandidate& a) { return a.mFailureDomain == "a"; });
  const auto names = ChooseServing(live, 730);
  cr_assert_eq(CountIn(names, "a"), 0U);
  cr_assert_geq(names.size(), 6U);
}

Test(serving, more_load_is_followed_at_once_and_less_slowly)
{
  RegionRate region;
  NoteRegionRate(region, 0, 8'000, kNow);
  // Nothing is known at a start: all entries are named.
  cr_assert_eq(ChooseServing(LargeRegion(), region.mPeak).size(),
               LargeRegion().size());
  NoteRegionRate(region, 100, 8'000, kNow + 60s);
  cr_assert_float_eq(region.mPeak, 100, 0.01);
  NoteRegionRate(region, 900, 8'000, kNow + 61s);
  cr_assert_float_eq(region.mPeak, 900, 0.01);
  NoteRegionRate(region, 100, 8'000, kNow + 63s);
  cr_assert_gt(region.mPeak, 600);
}

Test(serving, a_host_bears_what_its_processor_and_its_link_do)
{
  cr_assert_gt(CapacityOf(0.5, 200), CapacityOf(0.1, 200));
  cr_assert_gt(CapacityOf(0.5, 200), CapacityOf(0.5, 10));
}
