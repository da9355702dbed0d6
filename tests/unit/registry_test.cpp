#include <guavaline/registry/registry.hpp>

#include <criterion/criterion.h>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };

Registration MakeTarget(const std::string& aId)
{
  Registration out;
  out.mId = aId;
  out.mService = "proofs";
  out.mAddress = "127.0.0.1:8080";
  out.mFailureDomain = "d1";
  out.mSlots = 6;
  return out;
}

TargetRegistry MakeRegistry()
{
  TargetRegistry out;
  out.mDomains = { { "d1", "r1" } };
  TakeRegistration(out, MakeTarget("t1"), kNow);
  TakeRegistration(out, MakeTarget("t2"), kNow);
  return out;
}

bool Serves(const TargetRegistry& aRegistry, const std::string& aId,
            TimePoint aNow)
{
  const auto it = aRegistry.mTargets.find(aId);
  return it != aRegistry.mTargets.end() &&
         MayServe(aRegistry, *it->second, aNow);
}

} // namespace

Test(registry, a_draining_target_gets_no_work)
{
  auto registry = MakeRegistry();
  auto leaving = MakeTarget("t1");
  leaving.mDraining = true;
  cr_assert_eq(TakeRegistration(registry, leaving, kNow),
               RegistryChange::Draining);
  cr_assert_not(Serves(registry, "t1", kNow));
  // A late report of the time before does not take it back.
  TakeRegistration(registry, MakeTarget("t1"), kNow + 1s);
  cr_assert_not(Serves(registry, "t1", kNow + 1s));
}

Test(registry, a_new_life_under_an_old_id_starts_anew)
{
  auto registry = MakeRegistry();
  auto& old = registry.mTargets["t1"]->mLoad;
  old.mOwn = 5;
  auto again = MakeTarget("t1");
  again.mStarted = 77;
  again.mColdLeft = 3s;
  cr_assert_eq(TakeRegistration(registry, again, kNow),
               RegistryChange::Restarted);
  cr_assert_eq(registry.mTargets["t1"]->mLoad.mOwn, 0U);
  cr_assert_eq(registry.mTargets["t1"]->mColdUntil, kNow + 3s);
  cr_assert_eq(registry.mByService["proofs"].size(), 2U);
}

Test(registry, a_removal_in_calm_times_ends_work_at_once)
{
  auto registry = MakeRegistry();
  cr_assert_eq(TakeRemoval(registry, "t1", kNow), RegistryChange::Left);
  cr_assert_not(Serves(registry, "t1", kNow));
}

Test(registry, a_lapse_after_an_outage_has_two_seconds_to_come_back)
{
  auto registry = MakeRegistry();
  NoteRegistryTrouble(registry, kNow);
  cr_assert_eq(TakeRemoval(registry, "t1", kNow + 100ms),
               RegistryChange::Lapsed);
  cr_assert(Serves(registry, "t1", kNow + 1900ms));
  TakeRegistration(registry, MakeTarget("t2"), kNow + 1s);
  ForgetLapsed(registry, kNow + 2s);
  cr_assert_not(Serves(registry, "t1", kNow + 2s));
  cr_assert(Serves(registry, "t2", kNow + 10s));
}

Test(registry, an_evacuated_domain_gets_no_work_until_taken_back)
{
  auto registry = MakeRegistry();
  cr_assert(TakeEvacuation(registry, "d1", true, kNow));
  cr_assert_not(TakeEvacuation(registry, "d1", true, kNow));
  cr_assert_not(Serves(registry, "t1", kNow));
  cr_assert(TakeEvacuation(registry, "d1", false, kNow + 1s));
  cr_assert(Serves(registry, "t1", kNow + 1s));
}
