/// The platform's store out, slow, or losing answers, and racing operators.

#include "daemon/status_wire.hpp"
#include "expect.hpp"

#include <guavaline/configuration/questionnaire.hpp>

using namespace guavaline;
using namespace guavaline::testing;

namespace {

constexpr double kLoad = 0.4;
constexpr Millis kBound{ 60'000 };

Configuration WithTtl(Configuration aConfiguration, Millis aTtl)
{
  aConfiguration.mLookupTtl = aTtl;
  aConfiguration.mChangeId = ContentId(aConfiguration);
  return aConfiguration;
}

/// Tells how an apply ended.
const char* ApplyAs(const detail::OperatorTarget& aTarget,
                    const AcceptedConfiguration& aBase,
                    const Configuration& aNew)
{
  return detail::leaf::try_handle_all(
    [&]() -> detail::leaf::result<const char*> {
      BOOST_LEAF_AUTO(result, detail::Apply(aTarget, aBase, aNew));
      return result.mUnchanged ? "unchanged" : "applied";
    },
    [](const detail::ApplyConflict&) { return "conflict"; },
    [](const Error&) { return "error"; }, [] { return "other"; });
}

} // namespace

Test(store, out_for_longer_than_every_lease, .timeout = 240)
{
  Cluster cluster(tests::Named("store-out"));
  cr_assert(cluster.Start());
  cluster.SetStore({ true, Millis(0), 0 });
  cluster.StartLoad(cluster.Plan(kLoad, Millis(26'000)));
  Pause(Millis(2'000));
  // A host is replaced while the store is out: it learns from its peers.
  cluster.KillEntry("region2a1");
  cluster.StartEntry("region2a1");
  cr_assert(cluster.AwaitVersion({ "region2a1" }, 1, kBound));
  cluster.AwaitLoad();
  tests::ExpectNoViolation(cluster);
  const auto ends = tests::CountEnds(cluster);
  cr_assert_gt(ends.mAnswered, 20 * ends.mNotRun);
}

Test(store, lost_just_after_acceptance, .timeout = 240)
{
  Cluster cluster(tests::Named("store-lost"));
  cr_assert(cluster.Start());
  // Only one entry hears of the change before the store goes.
  for (const auto& it : cluster.EntryNames()) {
    if (it != "region1a1") {
      cluster.Block(it, { "store" });
    }
  }
  const auto version =
    cluster.Change(WithTtl(cluster.Accepted(), Millis(900)), false);
  cr_assert_gt(version, 0U);
  cr_assert(cluster.AwaitVersion({ "region1a1" }, version, kBound));
  cluster.SetStore({ true, Millis(0), 0 });
  cr_assert(cluster.AwaitVersion(cluster.EntryNames(), version, kBound));
  // A replaced host never shows the older one.
  cluster.KillEntry("region1a1");
  cluster.StartEntry("region1a1");
  cr_assert(cluster.AwaitVersion({ "region1a1" }, version, kBound));
  tests::ExpectNoViolation(cluster);
}

Test(store, versions_never_go_back, .timeout = 240)
{
  Cluster cluster(tests::Named("versions"));
  cr_assert(cluster.Start());
  std::uint64_t version = 0;
  cluster.PauseEntry("region3a1");
  for (int n = 1; n <= 5; ++n) {
    version = cluster.Change(WithTtl(cluster.Accepted(), Millis(1'000 + n)),
                             n % 2 == 0);
    cr_assert_gt(version, 0U);
    (void)cluster.VersionAt("region1a1");
    (void)cluster.VersionAt("region2a2");
  }
  cluster.ResumeEntry("region3a1");
  cr_assert(cluster.AwaitVersion(cluster.EntryNames(), version, kBound));
  // What an operator pushes late must not take the place of newer ones.
  detail::HttpRequest stale;
  stale.mMethod = "POST";
  stale.mTarget = "/v1/configuration";
  stale.mBody = detail::ToJson(detail::PushedConfiguration{
    1, ToStored(WithTtl(cluster.Accepted(), Millis(7'000))) });
  (void)cluster.AskEntry("region1a1", stale);
  cr_assert_eq(cluster.VersionAt("region1a1").value_or(0), version);
  tests::ExpectNoViolation(cluster);
}

Test(store, a_lost_answer_is_settled_by_reading_back, .timeout = 120)
{
  Cluster cluster(tests::Named("lost-answer"));
  cr_assert(cluster.Start());
  const AcceptedConfiguration base{ 1, cluster.Accepted() };
  const auto changed = WithTtl(cluster.Accepted(), Millis(1'234));
  cluster.SetStore({ false, Millis(0), 1 });
  cr_assert_str_eq(ApplyAs(cluster.Operator(), base, changed), "applied");
  // The same change once more does nothing.
  const AcceptedConfiguration after{ 2, changed };
  cr_assert_str_eq(ApplyAs(cluster.Operator(), after, changed), "unchanged");
  cr_assert(cluster.AwaitVersion(cluster.EntryNames(), 2, kBound));
  cr_assert_eq(cluster.VersionAt("region1a1").value_or(0), 2U);
}

Test(store, of_two_operators_one_gets_a_conflict, .timeout = 120)
{
  Cluster cluster(tests::Named("operators"));
  cr_assert(cluster.Start());
  const AcceptedConfiguration base{ 1, cluster.Accepted() };
  const auto one = WithTtl(cluster.Accepted(), Millis(1'111));
  const auto other = WithTtl(cluster.Accepted(), Millis(2'222));
  cr_assert_str_eq(ApplyAs(cluster.Operator(), base, one), "applied");
  cr_assert_str_eq(ApplyAs(cluster.Operator(), base, other), "conflict");
}

Test(store, slow_answers_hold_nobody_up, .timeout = 120)
{
  Cluster cluster(tests::Named("store-slow"));
  cr_assert(cluster.Start());
  cluster.SetStore({ false, Millis(1'500), 0 });
  cluster.StartLoad(cluster.Plan(kLoad, Millis(5'000)));
  cluster.AwaitLoad();
  tests::ExpectNoViolation(cluster);
  cr_assert_eq(tests::CountEnds(cluster).mNotRun, 0U);
}
