#include <guavaline/placement/load.hpp>
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
  NoteReport(load, { 5, 3, 6, {} }, 2, kNow);
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
