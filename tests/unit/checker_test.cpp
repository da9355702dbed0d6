#include "history/checker.hpp"

#include <criterion/criterion.h>

using namespace guavaline::testing;

namespace {

Event MakeEvent(std::int64_t aMicros, EventKind aKind, std::int64_t aAttempt,
                const char* aRan = "")
{
  Event out;
  out.mMicros = aMicros;
  out.mKind = aKind;
  out.mIdentity = "a.1.0.x";
  out.mAttempt = aAttempt;
  out.mRan = aRan;
  return out;
}

Event MakeRun(std::int64_t aMicros, const char* aMethod, std::int64_t aAttempt)
{
  auto out = MakeEvent(aMicros, EventKind::RunStarted, aAttempt);
  out.mClass = aMethod;
  return out;
}

/// The first attempt is answered with "unknown", the second with "no"; one
/// attempt runs in between.
std::vector<Event> MakeHistory(const char* aMethod, std::int64_t aRuns,
                               std::int64_t aRunsAt)
{
  std::vector<Event> out{
    MakeEvent(10, EventKind::CallSent, 1),
    MakeEvent(20, EventKind::CallAnswered, 1, "unknown"),
    MakeEvent(30, EventKind::CallSent, 2),
    MakeRun(aRunsAt, aMethod, aRuns),
    MakeEvent(50, EventKind::CallAnswered, 2, "no"),
  };
  SortEvents(out);
  return out;
}

} // namespace

Test(checker, an_earlier_attempt_of_a_read_may_run_beside_a_refused_one)
{
  cr_assert(CheckTruth(MakeHistory("GET", 1, 40)).empty());
}

Test(checker, a_refused_attempt_of_a_read_never_runs)
{
  for (const std::int64_t at : { 35, 40, 60, 5'000 }) {
    cr_assert_eq(CheckTruth(MakeHistory("GET", 2, at)).size(), 1U);
  }
}

Test(checker, a_confirmation_must_not_run_by_any_attempt_while_one_is_refused)
{
  cr_assert_eq(CheckTruth(MakeHistory("POST", 1, 40)).size(), 1U);
  cr_assert_eq(CheckTruth(MakeHistory("POST", 2, 40)).size(), 1U);
  cr_assert(CheckTruth(MakeHistory("POST", 1, 15)).empty());
}

Test(checker, a_call_that_ended_as_not_run_has_no_run)
{
  for (const std::int64_t at : { 15, 40, 90 }) {
    auto history = MakeHistory("POST", 1, at);
    auto end = MakeEvent(60, EventKind::CallEnded, 0);
    end.mOutcome = "not_run";
    history.push_back(end);
    SortEvents(history);
    cr_assert_geq(CheckTruth(history).size(), 1U);
  }
}

namespace {

/// Runs of four calm windows of a second, and of what follows them.
std::vector<Event> MakeShares(int aRunsAfter, const char* aRegionAfter)
{
  constexpr int kPerWindow = 100;
  constexpr int kWindows = 4;
  std::vector<Event> out;
  const auto add = [&](std::int64_t aMicros, const char* aRegion) {
    auto run = MakeRun(aMicros, "GET", 1);
    run.mService = "orders";
    run.mRegion = aRegion;
    out.push_back(run);
  };
  for (int n = 0; n < kPerWindow * kWindows; ++n) {
    add(1 + n * 10'000, n % 2 == 0 ? "a" : "b");
  }
  for (int n = 0; n < aRunsAfter; ++n) {
    add(1 + kWindows * 1'000'000 + n * 10'000, aRegionAfter);
  }
  return out;
}

CheckOptions MakeShiftOptions()
{
  CheckOptions out;
  guavaline::Service service;
  service.mName = "orders";
  service.mShiftCapPercent = 10;
  service.mShiftCapWindow = std::chrono::seconds(1);
  out.mConfiguration.mServices = { service };
  out.mConfiguration.mRegions = { { "a", {} }, { "b", {} } };
  out.mShiftWindow = std::chrono::seconds(1);
  out.mShiftNoise = 0.05;
  return out;
}

} // namespace

// Seen under load: the last answers of a run fell into a window of their own.
Test(checker, late_runs_after_the_load_are_no_shift)
{
  cr_assert(CheckShift(MakeShares(5, "a"), MakeShiftOptions()).empty());
}

Test(checker, a_shift_in_a_whole_window_is_found)
{
  // The load goes on for one more window, with or without a late run.
  for (const int runs : { 100, 105 }) {
    const auto found = CheckShift(MakeShares(runs, "a"), MakeShiftOptions());
    cr_assert_eq(found.size(), 1U);
    cr_assert_neq(found.front().find("with 100 runs"), std::string::npos);
  }
}
