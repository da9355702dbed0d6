/// Entries that die, pause, stop and lose each other under load.

#include "expect.hpp"

using namespace guavaline;
using namespace guavaline::testing;

namespace {

constexpr double kLoad = 0.4;

} // namespace

Test(entries, calm, .timeout = 120)
{
  Cluster cluster(tests::Named("calm"));
  cr_assert(cluster.Start());
  cluster.StartLoad(cluster.Plan(kLoad, Millis(4'000)));
  cluster.AwaitLoad();
  tests::ExpectNoViolation(cluster);
  const auto ends = tests::CountEnds(cluster);
  cr_assert_gt(ends.mAnswered, 500U);
  cr_assert_eq(ends.mUnknown, 0U);
}

Test(entries, killed_and_replaced, .timeout = 120)
{
  Cluster cluster(tests::Named("killed"));
  cr_assert(cluster.Start());
  cluster.StartLoad(cluster.Plan(kLoad, Millis(8'000)));
  Pause(Millis(1'500));
  cluster.KillEntry("region1a1");
  Pause(Millis(1'500));
  cluster.KillEntry("region2a2");
  cluster.StartEntry("region1a1");
  Pause(Millis(2'000));
  cluster.StartEntry("region2a2");
  cluster.AwaitLoad();
  tests::ExpectNoViolation(cluster);
  cr_assert_gt(tests::CountEnds(cluster).mAnswered, 500U);
}

Test(entries, paused_beyond_every_lease_and_woken, .timeout = 180)
{
  Cluster cluster(tests::Named("paused"));
  cr_assert(cluster.Start());
  cluster.StartLoad(cluster.Plan(kLoad, Millis(26'000)));
  Pause(Millis(1'500));
  cluster.PauseEntry("region1a1");
  cluster.PauseEntry("region3a2");
  // Loans last for twice the longest deadline of 10 s.
  Pause(Millis(22'000));
  cluster.ResumeEntry("region1a1");
  cluster.ResumeEntry("region3a2");
  cluster.AwaitLoad();
  tests::ExpectNoViolation(cluster);
  cr_assert_gt(tests::CountEnds(cluster).mAnswered, 500U);
}

Test(entries, paused_for_moments_again_and_again, .timeout = 180)
{
  Cluster cluster(tests::Named("moments"));
  cr_assert(cluster.Start());
  cluster.StartLoad(cluster.Plan(kLoad, Millis(10'000)));
  for (int n = 0; n < 6; ++n) {
    const auto names = cluster.EntryNames();
    const auto& name = names[static_cast<std::size_t>(n) % names.size()];
    cluster.PauseEntry(name);
    Pause(Millis(1'200));
    cluster.ResumeEntry(name);
    Pause(Millis(200));
  }
  cluster.AwaitLoad();
  tests::ExpectNoViolation(cluster);
}

Test(entries, planned_stops_cut_nothing, .timeout = 180)
{
  Cluster cluster(tests::Named("stops"));
  cr_assert(cluster.Start());
  cluster.StartLoad(cluster.Plan(kLoad, Millis(10'000)));
  for (const auto* it : { "region1a1", "region2a1", "region3a1" }) {
    Pause(Millis(500));
    cluster.StopEntry(it);
    cr_assert_eq(cluster.AwaitExit(it), 0);
    cluster.StartEntry(it);
    Pause(Millis(1'500));
  }
  cluster.AwaitLoad();
  tests::ExpectNoViolation(cluster);
  const auto ends = tests::CountEnds(cluster);
  cr_assert_gt(ends.mAnswered, 500U);
  cr_assert_eq(ends.mUnknown, 0U, "a stop left %lu unknown", ends.mUnknown);
  cr_assert_eq(tests::CountCut(cluster), 0U, "a stop cut requests");
}

Test(entries, parted_from_each_other, .timeout = 180)
{
  Cluster cluster(tests::Named("parted"));
  cr_assert(cluster.Start());
  cluster.StartLoad(cluster.Plan(kLoad, Millis(14'000)));
  Pause(Millis(1'000));
  const std::vector<std::string> one{ "region1a1", "region1a2", "region2a1" };
  const std::vector<std::string> other{ "region2a2", "region3a1", "region3a2" };
  for (const auto& it : one) {
    cluster.Block(it, other);
  }
  for (const auto& it : other) {
    cluster.Block(it, one);
  }
  Pause(Millis(9'000));
  for (const auto& it : cluster.EntryNames()) {
    cluster.Block(it, {});
  }
  cluster.AwaitLoad();
  tests::ExpectNoViolation(cluster);
  cr_assert_gt(tests::CountEnds(cluster).mAnswered, 500U);
}
