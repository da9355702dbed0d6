#include "soak/checks.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace guavaline;
using namespace guavaline::testing;

namespace {

constexpr std::int64_t kSecond = 1'000'000;

Event MakeEvent(std::int64_t aMicros, EventKind aKind, const char* aIdentity)
{
  Event out;
  out.mMicros = aMicros;
  out.mKind = aKind;
  out.mIdentity = aIdentity;
  out.mClass = "GET";
  out.mPlace = "e1";
  out.mPeer = "t1";
  out.mService = "alpha";
  out.mDigest = "d";
  return out;
}

/// A calm run that recovers; tests add what goes wrong.
SoakHistory MakeCalm()
{
  SoakHistory out;
  auto accepted = MakeEvent(0, EventKind::ConfigurationAccepted, "");
  accepted.mPeer.clear();
  out.mEvents.push_back(accepted);
  out.mEvents.push_back(MakeEvent(kSecond, EventKind::CallSent, "q1"));
  out.mCalmFrom = 60 * kSecond;
  auto late = MakeEvent(80 * kSecond, EventKind::CallSent, "late");
  out.mEvents.push_back(late);
  late.mKind = EventKind::CallAnswered;
  late.mRan = "yes";
  late.mStatus = 200;
  out.mEvents.push_back(late);
  return out;
}

std::size_t Broken(SoakHistory& aHistory)
{
  std::stable_sort(
    aHistory.mEvents.begin(), aHistory.mEvents.end(),
    [](const Event& a, const Event& b) { return a.mMicros < b.mMicros; });
  return CheckSoak(aHistory).size();
}

} // namespace

Test(soak_checks, a_calm_history_breaks_nothing)
{
  auto history = MakeCalm();
  history.mEvents.push_back(
    MakeEvent(kSecond + 1, EventKind::RunStarted, "q1"));
  cr_assert_eq(Broken(history), 0U);
}

Test(soak_checks, a_run_that_nobody_asked_for_is_found)
{
  auto history = MakeCalm();
  history.mEvents.push_back(MakeEvent(kSecond, EventKind::RunStarted, "q2"));
  cr_assert_eq(Broken(history), 1U);
  history = MakeCalm();
  auto changed = MakeEvent(kSecond + 1, EventKind::RunStarted, "q1");
  changed.mDigest = "other";
  history.mEvents.push_back(changed);
  cr_assert_eq(Broken(history), 1U);
}

Test(soak_checks, new_work_to_a_leaving_target_is_found_in_calm_only)
{
  auto history = MakeCalm();
  auto leaving = MakeEvent(0, EventKind::TargetLeaving, "");
  history.mEvents.push_back(leaving);
  history.mEvents.push_back(
    MakeEvent(3 * kSecond, EventKind::RunStarted, "q1"));
  cr_assert_eq(Broken(history), 1U);
  for (const char* it : { "e1", "t1", "store", "all", "e1/stop" }) {
    history.mImpairments = { { it, kSecond, kSecond + 1 } };
    cr_assert_eq(Broken(history), 0U, "%s", it);
  }
  history.mImpairments = { { "e2", kSecond, 0 } };
  cr_assert_eq(Broken(history), 1U);
}

Test(soak_checks, a_run_by_an_old_configuration_is_found_after_its_bound)
{
  auto history = MakeCalm();
  auto newer = MakeEvent(kSecond, EventKind::ConfigurationAccepted, "");
  newer.mService = "beta";
  newer.mPeer.clear();
  history.mEvents.push_back(newer);
  history.mEvents.push_back(MakeEvent(3 * kSecond, EventKind::CallSent, "q3"));
  history.mEvents.push_back(
    MakeEvent(3 * kSecond + 1, EventKind::RunStarted, "q3"));
  cr_assert_eq(Broken(history), 0U);
  history.mEvents.push_back(MakeEvent(4 * kSecond, EventKind::CallSent, "q4"));
  history.mEvents.push_back(
    MakeEvent(4 * kSecond + 1, EventKind::RunStarted, "q4"));
  cr_assert_eq(Broken(history), 1U);
}

Test(soak_checks, a_planned_stop_that_cuts_a_run_is_found)
{
  auto history = MakeCalm();
  auto stop = MakeEvent(kSecond + 2, EventKind::StopPlanned, "");
  stop.mPeer = "e1";
  history.mEvents.push_back(stop);
  history.mEvents.push_back(
    MakeEvent(kSecond + 1, EventKind::RunStarted, "q1"));
  auto cut = MakeEvent(kSecond + 9, EventKind::CallFailed, "q1");
  cut.mPeer.clear();
  cut.mOutcome = "receive: Connection reset by peer";
  history.mEvents.push_back(cut);
  cr_assert_eq(Broken(history), 1U);
  history.mImpairments = { { "t1", kSecond, kSecond + 5 } };
  cr_assert_eq(Broken(history), 0U);
}

Test(soak_checks, a_deployment_that_does_not_serve_again_is_found)
{
  auto history = MakeCalm();
  for (const char* it : { "a", "b", "c", "d" }) {
    history.mEvents.push_back(MakeEvent(81 * kSecond, EventKind::CallSent, it));
  }
  cr_assert_eq(Broken(history), 1U);
  history.mCalmFrom = 70 * kSecond;
  // Nobody was served after the time to recover, as nobody asked.
  cr_assert_eq(Broken(history), 1U);
}

namespace {

/// Adds runs of the split route, of which each n-th is at the first service.
void AddSplitRuns(SoakHistory& aHistory, std::int64_t aFrom, int aRuns,
                  int aNth)
{
  for (int n = 0; n < aRuns; ++n) {
    const auto id = "split" + std::to_string(aFrom) + "-" + std::to_string(n);
    auto event =
      MakeEvent(aFrom + n * kSecond / 50, EventKind::CallSent, id.c_str());
    event.mClass = kSplitMethod;
    aHistory.mEvents.push_back(event);
    event.mKind = EventKind::RunStarted;
    event.mService = n % aNth == 0 ? "alpha" : "beta";
    event.mMicros += 1;
    aHistory.mEvents.push_back(event);
    event.mKind = EventKind::CallAnswered;
    event.mRan = "yes";
    aHistory.mEvents.push_back(event);
  }
}

} // namespace

Test(soak_checks, a_split_off_its_weights_is_found_in_calm_only)
{
  auto history = MakeCalm();
  auto accepted = MakeEvent(20 * kSecond, EventKind::ConfigurationAccepted, "");
  accepted.mPeer.clear();
  accepted.mClass = kSplitMethod;
  accepted.mWeight = 50;
  history.mEvents.push_back(accepted);
  AddSplitRuns(history, 30 * kSecond, 250, 2);
  // Too few, and before the weights must be in force.
  AddSplitRuns(history, 21 * kSecond, 60, 1);
  AddSplitRuns(history, 40 * kSecond, 80, 1);
  cr_assert_eq(Broken(history), 0U);
  AddSplitRuns(history, 50 * kSecond, 250, 5);
  cr_assert_eq(Broken(history), 1U);
  history.mImpairments = { { "t7", 49 * kSecond, 49 * kSecond + 1 } };
  cr_assert_eq(Broken(history), 0U);
}

namespace {

/// Adds runs at a target, one each aGap microseconds.
void AddRuns(SoakHistory& aHistory, std::int64_t aFrom, int aRuns,
             std::int64_t aGap)
{
  for (int n = 0; n < aRuns; ++n) {
    const auto id = "run" + std::to_string(aFrom) + "-" + std::to_string(n);
    const auto at = aFrom + n * aGap;
    aHistory.mEvents.push_back(MakeEvent(at, EventKind::CallSent, id.c_str()));
    aHistory.mEvents.push_back(
      MakeEvent(at + 1, EventKind::RunStarted, id.c_str()));
    aHistory.mEvents.push_back(
      MakeEvent(at + 2, EventKind::RunEnded, id.c_str()));
    auto answer = MakeEvent(at + 3, EventKind::CallAnswered, id.c_str());
    answer.mRan = "yes";
    aHistory.mEvents.push_back(answer);
  }
}

} // namespace

Test(soak_checks, a_target_that_gets_more_than_its_limit_is_found)
{
  auto history = MakeCalm();
  auto named = MakeEvent(10 * kSecond, EventKind::TargetLimited, "");
  named.mPerSecond = 1;
  history.mEvents.push_back(named);
  // Before it binds; then no more than 11 in 4 s.
  AddRuns(history, 11 * kSecond, 30, kSecond / 10);
  AddRuns(history, 20 * kSecond, 11, kSecond / 10);
  cr_assert_eq(Broken(history), 0U);
  AddRuns(history, 30 * kSecond, 12, kSecond / 10);
  cr_assert_eq(Broken(history), 1U);
  history.mImpairments = { { "e1", 29 * kSecond, 29 * kSecond + 1 } };
  cr_assert_eq(Broken(history), 0U);
  history.mImpairments.clear();
  named.mMicros = 29 * kSecond;
  named.mPerSecond = 0;
  history.mEvents.push_back(named);
  cr_assert_eq(Broken(history), 0U);
}

namespace {

/// Runs of a request that crashes targets, one each second.
void AddCrasherRuns(SoakHistory& aHistory, int aRuns)
{
  for (int n = 1; n <= aRuns; ++n) {
    const auto id = kCrasherName + std::to_string(n);
    auto event = MakeEvent(n * kSecond, EventKind::CallSent, id.c_str());
    aHistory.mEvents.push_back(event);
    event.mKind = EventKind::RunStarted;
    aHistory.mEvents.push_back(event);
  }
}

} // namespace

Test(soak_checks, a_request_that_crashes_targets_is_not_sent_on)
{
  // Sends count from 4 s after the third; three are allowed.
  auto history = MakeCalm();
  AddCrasherRuns(history, 10);
  cr_assert_eq(Broken(history), 0U);
  history = MakeCalm();
  AddCrasherRuns(history, 11);
  history.mImpairments.push_back({ "e1", 9 * kSecond, 10 * kSecond });
  cr_assert_eq(Broken(history), 0U);
  history = MakeCalm();
  AddCrasherRuns(history, 11);
  cr_assert_eq(Broken(history), 1U);
}

Test(soak_checks, a_request_that_runs_as_two_attempts_of_its_id_is_found)
{
  auto history = MakeCalm();
  for (const char* it : { "u1/1", "u1/2" }) {
    auto event = MakeEvent(kSecond, EventKind::CallSent, it);
    event.mClass = "POST";
    history.mEvents.push_back(event);
  }
  auto run = MakeEvent(kSecond + 1, EventKind::RunStarted, "u1/1");
  run.mClass = "POST";
  history.mEvents.push_back(run);
  cr_assert_eq(Broken(history), 0U);
  run.mIdentity = "u1/2";
  history.mEvents.push_back(run);
  cr_assert_eq(Broken(history), 1U);
  // Others may be repeated.
  for (auto& it : history.mEvents) {
    it.mClass = "GET";
  }
  cr_assert_eq(Broken(history), 0U);
}
