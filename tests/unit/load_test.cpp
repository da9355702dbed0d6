#include <guavaline/placement/load.hpp>
#include <guavaline/placement/peer_load.hpp>
#include <guavaline/placement/service_time.hpp>

#include <criterion/criterion.h>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };

} // namespace

Test(load, a_report_counts_other_entries_requests_and_fades)
{
  TargetLoad load;
  load.mOwn = 2;
  NoteReport(load, { 5, 3, 6, std::nullopt }, 2, kNow);
  cr_assert_float_eq(ExpectedLoad(load, kNow), 8, 0.01);
  const double later = ExpectedLoad(load, kNow + 3s);
  cr_assert_lt(later, 4);
  cr_assert_geq(later, 2);
}

Test(load, a_slow_target_is_known_and_tried_again_later)
{
  TargetLoad load;
  for (int n = 0; n < 10; ++n) {
    NoteAnswer(load, 1'000ms, 200ms, kNow);
  }
  cr_assert_gt(Slowness(load, kNow), 3);
  cr_assert_lt(Slowness(load, kNow + 20s), 1.1);
}

Test(load, an_unreachable_target_is_left_for_longer_each_time)
{
  TargetLoad load;
  NoteUnreachable(load, kNow);
  const auto first = load.mEjectedUntil - kNow;
  NoteUnreachable(load, kNow);
  cr_assert_gt((load.mEjectedUntil - kNow).count(), first.count());
  for (int n = 0; n < 40; ++n) {
    NoteUnreachable(load, kNow);
  }
  cr_assert_leq((load.mEjectedUntil - kNow).count(),
                std::chrono::nanoseconds(4s).count());
  NoteAnswer(load, 100ms, 100ms, kNow);
  cr_assert_leq(load.mEjectedUntil.time_since_epoch().count(),
                kNow.time_since_epoch().count());
}

Test(load, run_times_are_learned_by_warmth)
{
  RunTimes times;
  for (int n = 0; n < 50; ++n) {
    NoteRun(times, Warmth::Known, 190ms);
    NoteRun(times, Warmth::Unlikely, 640ms);
  }
  cr_assert_eq(ExpectedRun(times, Warmth::Known), 190ms);
  cr_assert_eq(ExpectedRun(times, Warmth::Unlikely), 640ms);
}

Test(load, warm_objects_are_forgotten_with_time_and_bounded)
{
  WarmTable table;
  table.mMost = 100;
  for (std::uint64_t n = 0; n < 300; ++n) {
    NoteServed(table, WarmId(n, 7), kNow);
  }
  cr_assert_leq(table.mServed.size(), 100U);
  cr_assert(IsWarm(table, WarmId(5, 7), kNow + 1s));
  cr_assert_not(IsWarm(table, WarmId(5, 8), kNow + 1s));
  cr_assert_not(IsWarm(table, WarmId(5, 7), kNow + 1min));
}

Test(load, other_entries_are_told_once_in_a_while)
{
  WarmTable first;
  WarmTable second;
  const auto id = WarmId(5, 7);
  NoteServed(first, id, kNow);
  NoteServed(first, id, kNow + 1s);
  const auto told = TakeUntold(first);
  cr_assert_eq(told.size(), 1U);
  HearServed(second, told, kNow + 1s);
  cr_assert(IsWarm(second, id, kNow + 2s));
  // The second entry need not repeat what it has just heard.
  NoteServed(second, id, kNow + 2s);
  cr_assert(TakeUntold(second).empty());
  NoteServed(first, id, kNow + 10s);
  cr_assert_eq(TakeUntold(first).size(), 1U);
}

// Guards against an estimate as old as the last own answer: the other entries'
// requests count at once, and no longer than the entry that sent them is heard.
Test(load, the_regions_requests_in_flight_count_while_their_entry_is_heard)
{
  TargetLoad load;
  load.mOwn = 2;
  HearFlights(load, 1, 3, kNow);
  HearFlights(load, 2, 1, kNow);
  cr_assert_float_eq(SharedExpectedLoad(load, kNow, kNow), 6, 0.01);
  HearFlights(load, 1, 0, kNow + 200ms);
  cr_assert_float_eq(SharedExpectedLoad(load, kNow, kNow + 200ms), 3, 0.01);
  cr_assert_float_eq(SharedExpectedLoad(load, kNow + 1s, kNow + 1'100ms), 2,
                     0.01);
}

// Guards against other entries of the region that are counted twice, and
// against requests of other regions that are not counted.
Test(load, reports_tell_of_other_regions_only)
{
  TargetLoad load;
  load.mOwn = 1;
  HearFlights(load, 1, 2, kNow);
  for (int n = 1; n <= 40; ++n) {
    const auto now = kNow + Millis(10 * n);
    // One entry's report says that three requests are not of the region.
    HearReport(load, 1, { 6, 2, 0, now }, now);
  }
  const auto now = kNow + 400ms;
  cr_assert_float_eq(SharedExpectedLoad(load, now, now), 6, 0.1);
  // An older report changes nothing.
  HearReport(load, 2, { 60, 0, 0, kNow }, now);
  cr_assert_float_eq(SharedExpectedLoad(load, now, now), 6, 0.1);
}

// Guards against a target that counts as idle where no entry is heard.
Test(load, without_fresh_figures_the_own_estimate_stands)
{
  TargetLoad load;
  NoteReport(load, { 5, 3, 6 }, 0, kNow);
  NoteSharedReport(load, { 5, 3, 6 }, 0, kNow);
  const auto later = kNow + 1'001ms;
  cr_assert_eq(SharedExpectedLoad(load, {}, later), ExpectedLoad(load, later));
}

// Guards against hosts that are taken as slow long after they are fast again,
// and against values that no host can mean.
Test(load, the_run_percent_fades_and_absurd_ones_are_left_out)
{
  TargetLoad load;
  NoteSharedReport(load, { 1, 0, 6, 250 }, 0, kNow);
  cr_assert_float_eq(RunFactor(load, kNow), 2.5, 0.01);
  cr_assert_float_eq(RunFactor(load, kNow + 300ms), 1.75, 0.01);
  NoteSharedReport(load, { 1, 0, 6, 0 }, 0, kNow + 1ms);
  NoteSharedReport(load, { 1, 0, 6, 10'001 }, 0, kNow + 2ms);
  HearReport(load, 1, { 1, 0, 4'000'000'000, kNow + 3ms }, kNow + 3ms);
  cr_assert_float_eq(RunFactor(load, kNow + 300ms), 1.75, 0.01);
  cr_assert_not(UsablePercent(0).has_value());
  cr_assert_not(UsablePercent(10'001).has_value());
  cr_assert_eq(UsablePercent(10'000), 10'000U);
  cr_assert_eq(AtUsualSpeed(500ms, 250), 200ms);
  cr_assert_eq(AtUsualSpeed(500ms, std::nullopt), 500ms);
}

// Guards against messages without news, and against in-flight counts that lapse
// at the others because they do not change.
Test(load, other_entries_are_told_of_changes_and_of_long_runs)
{
  TargetLoad load;
  cr_assert_not(HasLoadNews(load, kNow));
  load.mOwn = 1;
  cr_assert(HasLoadNews(load, kNow));
  MarkTold(load, kNow);
  cr_assert_not(HasLoadNews(load, kNow + 200ms));
  cr_assert(HasLoadNews(load, kNow + 600ms));
  MarkTold(load, kNow + 600ms);
  NoteSharedReport(load, { 1, 0, 6 }, 0, kNow + 700ms);
  cr_assert(HasNewReport(load));
  cr_assert(HasLoadNews(load, kNow + 700ms));
}
