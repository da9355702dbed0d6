/// Targets that leave, crash, go silent, lie, or go with their region.

#include "expect.hpp"

#include <guavaline/configuration/questionnaire.hpp>
#include <guavaline/core/hash.hpp>

using namespace guavaline;
using namespace guavaline::testing;

namespace {

constexpr double kLoad = 0.4;

/// One stream of equal calls.
LoadPlan Only(LoadPlan aPlan, const std::string& aClass,
              const std::string& aBody, double aPerSecond)
{
  LoadStream stream;
  stream.mService = "orders";
  stream.mClass = aClass;
  stream.mPlace = "region1";
  stream.mPerSecond = aPerSecond;
  stream.mBody = aBody;
  stream.mPath = "/same";
  aPlan.mStreams = { stream };
  return aPlan;
}

} // namespace

Test(targets, leaving_by_health_get_no_new_work, .timeout = 120)
{
  Cluster cluster(tests::Named("leaving"));
  cr_assert(cluster.Start());
  cluster.SetStore({ true, Millis(0), 0 });
  cluster.StartLoad(cluster.Plan(kLoad, Millis(9'000)));
  Pause(Millis(1'500));
  bool first = true;
  cluster.EachTarget("region2", [&](TargetStandin& a) {
    if (first) {
      a.Announce();
    }
    first = false;
  });
  cluster.AwaitLoad();
  tests::ExpectNoViolation(cluster);
  cr_assert_eq(tests::CountEnds(cluster).mUnknown, 0U);
}

Test(targets, leaving_by_their_answers_get_no_new_work, .timeout = 120)
{
  Cluster cluster(tests::Named("answers"));
  cr_assert(cluster.Start());
  cluster.StartLoad(cluster.Plan(kLoad, Millis(8'000)));
  Pause(Millis(1'500));
  bool first = true;
  cluster.EachTarget("region1", [&](TargetStandin& a) {
    if (first) {
      // Health says nothing; only the answers do.
      a.Behaviour().mLeavingByAnswers = true;
      a.Announce();
      a.Behaviour().mLeavingByHealth = false;
    }
    first = false;
  });
  cluster.AwaitLoad();
  CheckOptions options;
  options.mLeavingGrace = Millis(3'000);
  tests::ExpectNoViolation(cluster, options);
}

Test(targets, crashes_leave_no_false_word, .timeout = 120)
{
  Cluster cluster(tests::Named("crashes"));
  cr_assert(cluster.Start());
  cluster.StartLoad(cluster.Plan(kLoad, Millis(8'000)));
  for (int n = 0; n < 5; ++n) {
    Pause(Millis(1'000));
    cluster.EachTarget(n % 2 == 0 ? "region1" : "region3",
                       [n](TargetStandin& a) {
                         if (a.About().mName.back() == '1' + n % 3) {
                           a.Crash();
                         }
                       });
  }
  cluster.AwaitLoad();
  tests::ExpectNoViolation(cluster);
  cr_assert_gt(tests::CountEnds(cluster).mAnswered, 500U);
}

Test(targets, a_lost_region_is_left_under_the_cap, .timeout = 180)
{
  auto options = tests::Named("region-lost");
  options.mShiftCapPercent = 10;
  options.mShiftCapWindow = Millis(1'000);
  Cluster cluster(options);
  cr_assert(cluster.Start());
  cluster.StartLoad(cluster.Plan(kLoad, Millis(18'000)));
  Pause(Millis(2'000));
  // Crashed targets come back after a second, so they crash once more until
  // the region has been away for long.
  for (int n = 0; n < 12; ++n) {
    cluster.EachTarget("region3", [](TargetStandin& a) { a.Crash(); });
    Pause(Millis(500));
  }
  cluster.AwaitLoad();
  tests::ExpectNoViolation(cluster);
  cr_assert_gt(tests::CountEnds(cluster).mAnswered, 500U);
}

Test(targets, connections_that_go_silent_are_given_up, .timeout = 180)
{
  Cluster cluster(tests::Named("silent"));
  cr_assert(cluster.Start());
  cluster.StartLoad(cluster.Plan(kLoad, Millis(12'000)));
  Pause(Millis(2'000));
  cluster.EachTarget("", [](TargetStandin& a) {
    a.Behaviour().mSilentUpTo = a.LastConnection();
  });
  cluster.AwaitLoad();
  tests::ExpectNoViolation(cluster);
  // Checks go elsewhere within their time limit.
  const auto ends = tests::CountEnds(cluster);
  cr_assert_gt(ends.mAnswered, 20 * (ends.mNotRun + ends.mUnknown));
}

Test(targets, a_request_that_crashes_targets_is_not_walked_through_them,
     .timeout = 180)
{
  Cluster cluster(tests::Named("crasher"));
  cr_assert(cluster.Start());
  cluster.StartLoad(cluster.Plan(kLoad * 0.5, Millis(9'000)));
  // Its callers send it again and again, each time as a new request.
  auto crashing =
    Only(cluster.Plan(0, Millis(8'000)), "confirm", kCrashBody, 4);
  crashing.mSeed = 2; // Callers of their own, with identities of their own.
  cluster.StartLoad(crashing);
  cluster.AwaitLoad();
  tests::ExpectNoViolation(cluster);
  const auto runs = tests::CountRuns(cluster, HexId(Hash(kCrashBody)));
  cr_assert_geq(runs, 1U);
  // Every entry may learn by itself before it hears of it: two runs each at
  // the most, far fewer with the peers' word.
  cr_assert_leq(runs, 6U, "%lu targets were crashed", runs);
}

Test(targets, answers_that_are_dropped_are_never_run_again, .timeout = 120)
{
  Cluster cluster(tests::Named("dropped"));
  cr_assert(cluster.Start());
  cluster.EachTarget("region1", [](TargetStandin& a) {
    a.Behaviour().mDropAnswers = a.About().mName.back() == '1';
  });
  cluster.StartLoad(cluster.Plan(kLoad, Millis(6'000)));
  cluster.AwaitLoad();
  tests::ExpectNoViolation(cluster);
}

Test(targets, a_planned_drain_empties_a_region_under_the_cap, .timeout = 180)
{
  auto options = tests::Named("drain");
  options.mShiftCapPercent = 5;
  options.mShiftCapWindow = Millis(1'000);
  options.mTargetsPerDomain = 4;
  Cluster cluster(options);
  cr_assert(cluster.Start());
  cluster.StartLoad(cluster.Plan(0.3, Millis(42'000)));
  Pause(Millis(1'000));
  auto configuration = cluster.Accepted();
  const auto now =
    std::chrono::floor<Seconds>(std::chrono::system_clock::now());
  // All of its traffic moves within 20 s and the clocks' bound.
  configuration.mDrains.push_back({ "works", DrainScope::Region, "region2",
                                    now + Seconds(26), now + Seconds(3600) });
  configuration.mChangeId = ContentId(configuration);
  cr_assert_gt(cluster.Change(configuration, true), 0U);
  // The store goes; the drain is part of what every entry holds.
  cluster.SetStore({ true, Millis(0), 0 });
  Pause(Millis(25'500));
  const auto drained = NowMicros();
  cluster.AwaitLoad();
  CheckOptions check;
  check.mShiftWindow = Millis(2'000);
  // Random arrivals move a window's shares by a few percent.
  check.mShiftNoise = 0.05;
  tests::ExpectNoViolation(cluster, check);
  std::uint64_t late = 0;
  for (const auto& it : cluster.Events().Copy()) {
    if (it.mKind == EventKind::RunStarted && it.mRegion == "region2" &&
        it.mMicros > drained + 500'000) {
      ++late;
    }
  }
  cr_assert_eq(late, 0U, "%lu runs after the drain's time", late);
  const auto ends = tests::CountEnds(cluster);
  cr_assert_eq(ends.mUnknown, 0U);
  cr_assert_eq(ends.mNotRun, 0U, "%lu refused", ends.mNotRun);
}
