#include <guavaline/crashes/run_watch.hpp>

#include <criterion/criterion.h>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };

/// A watch with a run that broke, one that ran out of time, one whose caller
/// left and one under way; their digests are 1 to 4.
RunWatch WatchOfAll()
{
  RunWatch out;
  NoteBroken(out, { 1, kNow - 2s, kNow - 1s, RunEnd::Broke });
  NoteBroken(out, { 2, kNow - 2s, kNow - 1s, RunEnd::Unseen });
  NoteAbandoned(out, { 3, kNow - 2s, kNow - 1s, RunEnd::Unseen });
  StartRun(out, 4, kNow - 2s);
  return out;
}

std::vector<Crash> CrashesBy(EndSign aSign, RunWatch aWatch = WatchOfAll())
{
  return TakeCrashes(aWatch, 7, aSign, kNow, kNow);
}

} // namespace

// Guards against a silent host under whose runs nothing is counted, since no
// connection broke.
Test(run_watch, all_runs_at_a_host_that_fell_silent_are_suspect)
{
  const auto out = CrashesBy(EndSign::Silent);
  cr_assert_eq(out.size(), 4U);
  for (const auto& it : out) {
    cr_assert_eq(it.mUncertain, it.mDigest != 1);
    cr_assert_eq(it.mLife, 7U);
  }
  cr_assert(out[0].mCrashed == kNow - 1s);
  cr_assert(out[1].mCrashed == kNow - 2s);
}

Test(run_watch, another_life_ends_all_runs)
{
  cr_assert_eq(CrashesBy(EndSign::AnotherLife).size(), 4U);
}

// Guards against requests that a full target goes on to serve.
Test(run_watch, a_refused_connection_says_nothing_of_runs_under_way)
{
  const auto out = CrashesBy(EndSign::RefusesConnections);
  cr_assert_eq(out.size(), 2U);
  cr_assert_eq(out[1].mDigest, 2U);
}

Test(run_watch, runs_that_start_in_the_silence_are_not_suspect)
{
  RunWatch watch;
  StartRun(watch, 1, kNow + 1s);
  cr_assert(CrashesBy(EndSign::Silent, watch).empty());
}

Test(run_watch, ended_runs_are_not_suspect)
{
  RunWatch watch;
  const auto run = StartRun(watch, 1, kNow - 1s);
  cr_assert(HasSuspects(watch));
  EndRun(watch, run);
  cr_assert_not(HasSuspects(watch));
}

Test(run_watch, a_crash_is_seen_soon_or_by_another_life)
{
  auto watch = WatchOfAll();
  cr_assert(TakeCrashes(watch, 7, EndSign::RefusesConnections, kNow, kNow + 5s)
              .empty());
  watch = WatchOfAll();
  cr_assert_eq(
    TakeCrashes(watch, 7, EndSign::AnotherLife, kNow, kNow + 5s).size(), 4U);
  watch = WatchOfAll();
  ForgetBroken(watch, kNow + 20s);
  cr_assert(watch.mBroken.empty());
  cr_assert(watch.mAbandoned.empty());
}

Test(run_watch, broken_runs_are_bounded)
{
  RunWatch watch;
  for (std::uint64_t n = 1; n <= 100; ++n) {
    NoteBroken(watch, { n, kNow, kNow, RunEnd::Broke });
  }
  cr_assert_eq(watch.mBroken.size(), 16U);
  cr_assert_eq(watch.mBroken.back().mDigest, 100U);
}
