#include "entry/spares.hpp"

#include <criterion/criterion.h>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };

TargetRegistry MakeRegistry()
{
  TargetRegistry out;
  out.mDomains = { { "a1", "a" }, { "b1", "b" } };
  for (const auto* id : { "near", "used", "used-last", "busy", "unused" }) {
    Registration target;
    target.mId = id;
    target.mService = "proofs";
    target.mAddress = "127.0.0.1:8000";
    target.mFailureDomain = target.mId == "near" ? "a1" : "b1";
    target.mSlots = 3;
    TakeRegistration(out, target, kNow - 100s);
  }
  out.mTargets.at("near")->mLoad.mLastSend = kNow - 1s;
  out.mTargets.at("used")->mLoad.mLastSend = kNow - 5s;
  out.mTargets.at("used-last")->mLoad.mLastSend = kNow - 1s;
  out.mTargets.at("busy")->mLoad.mLastSend = kNow - 1s;
  out.mTargets.at("busy")->mLoad.mOwn = 1;
  out.mTargets.at("unused")->mLoad.mLastSend = kNow - 60s;
  return out;
}

} // namespace

// Guards against connections to targets that no request needs, and against
// requests that wait a round trip between regions for a connection.
Test(spares, idle_far_targets_in_use_come_in_the_order_of_use)
{
  const auto registry = MakeRegistry();
  const auto out = FarTargetsInUse(registry, "a", kNow);
  cr_assert_eq(out.size(), 2U);
  cr_assert_eq(out[0]->mRegistration.mId, "used-last");
  cr_assert_eq(out[1]->mRegistration.mId, "used");
}

// A target that leaves, or cannot be reached, must not be connected to.
Test(spares, targets_that_get_no_work_get_no_connections)
{
  auto registry = MakeRegistry();
  registry.mTargets.at("used")->mLeft = true;
  registry.mTargets.at("used-last")->mLoad.mEjectedUntil = kNow + 1s;
  cr_assert(FarTargetsInUse(registry, "a", kNow).empty());
}
