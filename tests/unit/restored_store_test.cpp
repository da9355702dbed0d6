/// A store that comes back from an older copy of itself: revisions are given
/// out again, and what the entries know is newer than what it says.

#include "following_entries.hpp"

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;
using tests::Serves;
using tests::TargetObject;

namespace json = boost::json;

// Guards against entries that take what a restored store says for old news:
// they saw its revisions before, and missed the configuration that came next.
Test(restored_store, the_next_configuration_is_in_force_at_all_entries,
     .timeout = 60)
{
  tests::FollowingEntries deployment;
  deployment.Configure(2);
  deployment.Configure(3);
  cr_assert(
    deployment.Await([](Entry& a) { return a.mRouting.mVersion == 3; }));
  deployment.Store().Restore();
  deployment.Configure(3);
  deployment.Configure(4);
  cr_assert(
    deployment.Await([](Entry& a) { return a.mRouting.mVersion == 4; }));
}

// The same where the counter is past the old revision before anybody looks.
Test(restored_store, a_watch_that_joins_two_histories_is_not_believed,
     .timeout = 60)
{
  tests::FollowingEntries deployment;
  deployment.Store().Put("servers", "t2", TargetObject("ready", 20));
  cr_assert(deployment.Await([](Entry& a) { return Serves(a, "t2"); }));
  // All views get as far, whatever their kind.
  cr_assert(deployment.Await([](Entry& a) {
    return a.mFollows[ObjectKind::Routing].mView.mRevision >=
           a.mFollows[ObjectKind::Targets].mView.mRevision;
  }));
  deployment.Store().Restore();
  deployment.Configure(4);
  for (int n = 0; n < 5; ++n) {
    deployment.Store().Put("other", "x" + std::to_string(n), n);
  }
  cr_assert(
    deployment.Await([](Entry& a) { return a.mRouting.mVersion == 4; }));
}

// Guards against targets that get work again because an old copy lists them.
Test(restored_store, a_target_that_had_left_stays_out, .timeout = 60)
{
  tests::FollowingEntries deployment;
  deployment.Store().Put("servers", "t1", TargetObject("draining", 10));
  deployment.Store().Remove("servers", "t1");
  cr_assert(deployment.Await(
    [](Entry& a) { return a.mRegistry.mTargets.count("t1") == 0; }));
  deployment.Store().Restore();
  cr_assert(deployment.Holds([](Entry& a) { return !Serves(a, "t1"); }, 3s));
  // Its next life serves at once.
  deployment.Store().Put("servers", "t1", TargetObject("ready", 30));
  cr_assert(deployment.Await([](Entry& a) { return Serves(a, "t1"); }));
}

// Guards against an older life of a target that takes the present one's place.
Test(restored_store, a_target_that_had_restarted_keeps_its_life, .timeout = 60)
{
  tests::FollowingEntries deployment;
  deployment.Store().Put("servers", "t1", TargetObject("ready", 30));
  const auto present = [](Entry& a) {
    const auto it = a.mRegistry.mTargets.find("t1");
    return it != a.mRegistry.mTargets.end() &&
           it->second->mRegistration.mStarted == 30;
  };
  cr_assert(deployment.Await(present));
  deployment.Store().Restore();
  cr_assert(deployment.Holds(present, 2s));
}

// Guards against work for an emptied failure domain of which an old copy does
// not know, and against emptying one that had been taken back.
Test(restored_store, evacuations_hold_until_they_are_written_again,
     .timeout = 60)
{
  tests::FollowingEntries deployment;
  const auto emptied = [](Entry& a) {
    return a.mRegistry.mEvacuated.count("d1") == 1;
  };
  const auto serving = [&](Entry& a) { return !emptied(a); };
  deployment.Store().Put("evacuations", "d1", json::object{});
  cr_assert(deployment.Await(emptied));
  deployment.Store().Restore();
  cr_assert(deployment.Holds(emptied, 2s));
  deployment.Store().Put("evacuations", "d1", json::object{});
  cr_assert(deployment.Holds(emptied, 2s));
  deployment.Store().KeepCopy();
  deployment.Store().Remove("evacuations", "d1");
  cr_assert(deployment.Await(serving));
  deployment.Store().Restore();
  cr_assert(deployment.Holds(serving, 2s));
  deployment.Store().Remove("evacuations", "d1");
  cr_assert(deployment.Holds(serving, 1s));
}

// Guards against entries that nobody can call any more: their records were
// written after the copy was made.
Test(restored_store, entries_write_their_records_again, .timeout = 60)
{
  tests::FollowingEntries deployment;
  deployment.Store().Remove("guavaline-entries", "e2");
  deployment.Store().KeepCopy();
  const auto complete = [](Entry& a) { return a.mRoster.mOthers.size() == 2; };
  const auto written = [&deployment](Entry&) {
    return deployment.Store().Has("guavaline-entries", "e2");
  };
  cr_assert(
    deployment.Await([&](Entry& a) { return complete(a) && written(a); }));
  deployment.Store().Restore();
  cr_assert_not(written(deployment.At(0)));
  cr_assert(deployment.Await(written));
  cr_assert(deployment.Holds(complete, 1s));
}
