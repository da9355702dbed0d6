#include <guavaline/steering/drain_plan.hpp>
#include <guavaline/steering/shares.hpp>

#include "fixtures.hpp"

#include <criterion/criterion.h>

#include <cmath>
#include <random>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };
const WallTime kWall{ 1'800'000'000s };
constexpr ShiftCap kCap{ 0.2, Millis(60'000) };

Configuration WithDrain(const std::string& aPlace, WallTime aBy)
{
  auto out = tests::Example("tussock");
  out.mDrains.push_back(
    { "d-" + aPlace, DrainScope::Region, aPlace, aBy, aBy + 3600s });
  return out;
}

double Sum(const Shares& aShares)
{
  double n = 0;
  for (const auto it : aShares) {
    n += it;
  }
  return n;
}

} // namespace

Test(shares, traffic_goes_home_where_it_can)
{
  const auto configuration = tests::Example("tussock");
  const auto shares =
    DesiredShares(configuration, configuration.mServices[0], 1, { 1, 1, 1 });
  cr_assert_eq(shares[1], 1.0);
}

Test(shares, a_region_without_targets_loses_its_traffic_by_capacity)
{
  const auto configuration = tests::Example("tussock");
  const auto shares =
    DesiredShares(configuration, configuration.mServices[0], 0, { 0, 1, 1 });
  cr_assert_eq(shares[0], 0.0);
  cr_assert_float_eq(shares[1], 36.0 / 66.0, 1e-9);
  cr_assert_float_eq(Sum(shares), 1.0, 1e-9);
}

Test(shares, nowhere_to_go_means_staying_home)
{
  const auto configuration = tests::Example("tussock");
  const auto shares =
    DesiredShares(configuration, configuration.mServices[0], 2, { 0, 0, 0 });
  cr_assert_eq(shares[2], 1.0);
}

Test(shares, a_move_stays_under_the_cap_in_every_window)
{
  ShareState state{ { 1, 0, 0 }, kNow, {}, {} };
  std::vector<Shares> seen;
  std::mt19937_64 random(5);
  auto now = kNow;
  for (int n = 0; n < 6'000; ++n) {
    now += 100ms;
    Shares goal{ 0, 0, 0 };
    goal[random() % 3] = 1;
    Advance(state, n % 500 < 250 ? Shares{ 0, 0.5, 0.5 } : goal, kCap, now);
    seen.push_back(state.mShares);
    const std::size_t window = 600;
    if (seen.size() > window) {
      cr_assert_leq(ShiftBetween(seen[seen.size() - 1 - window], seen.back()),
                    kCap.mShare + 1e-9);
    }
    cr_assert_float_eq(Sum(state.mShares), 1.0, 1e-6);
  }
}

Test(shares, a_paused_process_gains_no_allowance)
{
  ShareState state{ { 1, 0, 0 }, kNow, {}, {} };
  Advance(state, { 0, 1, 0 }, kCap, kNow + 3600s);
  cr_assert_geq(state.mShares[0], 1 - kCap.mShare / 60 - 1e-9);
}

Test(shares, picks_follow_the_shares)
{
  ShareState state{ { 0.5, 0.25, 0.25 }, kNow, {}, {} };
  std::vector<int> counts(3, 0);
  for (int n = 0; n < 1'000; ++n) {
    ++counts[PickRegion(state)];
  }
  cr_assert_eq(counts[0], 500);
  cr_assert_eq(counts[1], 250);
}

Test(shares, a_region_without_a_share_is_never_picked)
{
  ShareState state{ { 0.5, 0.5, 0 }, kNow, {}, {} };
  for (int n = 0; n < 100; ++n) {
    (void)PickRegion(state);
  }
  state.mShares = { 0, 0, 1 };
  for (int n = 0; n < 100; ++n) {
    cr_assert_eq(PickRegion(state), 2U);
  }
}

Test(shares, a_drain_is_over_by_its_time_and_not_before_it_must_start)
{
  const auto by = kWall + 3600s;
  const auto configuration = WithDrain("waikato", by);
  const auto& service = configuration.mServices[0];
  const auto schedule = ScheduleDrains(configuration, service);
  cr_assert_eq(schedule.size(), 1U);
  // All of the traffic moves at 20 % a minute, in 300 s.
  cr_assert_leq((by - schedule[0].mStart).count(), 330);
  cr_assert_geq((by - schedule[0].mStart).count(), 300);
  cr_assert_eq(PlannedShares(configuration, service, 0, schedule[0].mStart)[0],
               1.0);
  cr_assert_float_eq(PlannedShares(configuration, service, 0, by)[0], 0.0,
                     1e-9);
}

Test(shares, drains_one_after_another_do_not_share_the_cap)
{
  auto configuration = WithDrain("waikato", kWall + 3600s);
  configuration.mDrains.push_back(
    { "second", DrainScope::Region, "manawatu", kWall + 3700s, kWall + 9000s });
  const auto schedule =
    ScheduleDrains(configuration, configuration.mServices[0]);
  cr_assert_eq(schedule[0].mStart < schedule[1].mStart, true);
  cr_assert_leq((schedule[0].mStart + 300s).time_since_epoch().count(),
                schedule[1].mStart.time_since_epoch().count());
}

Test(shares, a_started_entry_joins_the_drain_where_the_others_are)
{
  const auto configuration = WithDrain("waikato", kWall + 3600s);
  const auto& service = configuration.mServices[0];
  const auto start = ScheduleDrains(configuration, service)[0].mStart;
  // One entry that moved step by step, ...
  ShareState state;
  FitShares(state, configuration,
            PlannedShares(configuration, service, 0, start), kNow);
  auto now = kNow;
  for (int n = 0; n < 1'500; ++n) {
    now += 100ms;
    const auto goal = DesiredShares(configuration, service, 0, { 0, 1, 1 });
    Advance(state, goal, CapOf(service), now);
  }
  // ... and one that starts now, agree.
  const auto joined = PlannedShares(configuration, service, 0, start + 150s);
  cr_assert_leq(ShiftBetween(state.mShares, joined), 0.01);
}

Test(shares, a_drain_that_cannot_end_in_time_does_not_fit)
{
  const auto configuration = tests::Example("tussock");
  const Drain drain{ "d", DrainScope::Region, "waikato", kWall + 120s,
                     kWall + 3600s };
  for (const auto& it : ForecastDrain(configuration, drain, kWall)) {
    cr_assert_not(it.mFits);
    auto later = drain;
    later.mBy = it.mEarliestBy;
    later.mUntil = later.mBy + 3600s;
    cr_assert(ForecastDrain(configuration, later, kWall)[0].mFits);
    later.mBy -= 1s;
    cr_assert_not(ForecastDrain(configuration, later, kWall)[0].mFits);
  }
}

// Guards against shares that are kept by position over a change of the
// configuration: regions that are listed in another order swapped their
// traffic at once, past the cap.
Test(shares, a_configuration_that_lists_regions_otherwise_moves_no_traffic)
{
  auto configuration = tests::Example("tussock");
  const auto& service = configuration.mServices[0];
  ShareState state;
  FitShares(state, configuration, { 0.7, 0.2, 0.1 }, kNow);
  const auto first = configuration.mRegions[0].mName;
  std::rotate(configuration.mRegions.begin(),
              configuration.mRegions.begin() + 1, configuration.mRegions.end());
  FitShares(state, configuration,
            PlannedShares(configuration, service, 2, kWall), kNow + 1s);
  cr_assert_eq(configuration.mRegions[2].mName, first);
  cr_assert_eq(state.mShares[2], 0.7);
  cr_assert_eq(state.mShares[0], 0.2);
  cr_assert_eq(state.mShares[1], 0.1);
  cr_assert(state.mMoved == kNow);
}

// Guards against a region that takes the place of another one and gets its
// traffic at once.
Test(shares, a_region_inherits_no_traffic_of_the_one_it_replaces)
{
  auto configuration = tests::Example("tussock");
  ShareState state;
  FitShares(state, configuration, { 0.7, 0.2, 0.1 }, kNow);
  configuration.mRegions[1].mName = "new";
  FitShares(state, configuration, { 1, 0, 0 }, kNow + 1s);
  cr_assert_float_eq(state.mShares[0], 0.9, 1e-9);
  cr_assert_eq(state.mShares[1], 0.0);
  cr_assert_eq(state.mShares[2], 0.1);
}
