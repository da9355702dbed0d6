#include <guavaline/core/hash.hpp>
#include <guavaline/placement/placement.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <queue>
#include <random>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };

Registration MakeTarget(int aNumber, const std::string& aDomain)
{
  Registration out;
  out.mId = "t" + std::to_string(aNumber);
  out.mService = "proofs";
  out.mAddress = "127.0.0.1:" + std::to_string(8'000 + aNumber);
  out.mFailureDomain = aDomain;
  out.mSlots = 6;
  return out;
}

/// Everything that placement looks at.
struct Scene
{
  TargetRegistry mRegistry;
  RoundTrips mTrips;
  WarmTable mWarm;
  RunTimes mTimes;
  Route mRoute;
  std::string mService = "proofs";
  ColdBound mCold{ 6.9, 1.5, 5 };
  ShiftBound mShiftBound;
  bool mUnseen = false;

  Scene(int aNear, int aFar)
  {
    mRegistry.mDomains = { { "a1", "a" }, { "b1", "b" } };
    mTrips.mOwnDomain = "a1";
    mTrips.mOwnRegion = "a";
    mRoute.mServices = { { mService, 1 } };
    for (int n = 0; n < aNear + aFar; ++n) {
      TakeRegistration(mRegistry, MakeTarget(n, n < aNear ? "a1" : "b1"), kNow);
    }
  }

  [[nodiscard]] PlacementChoice Choose(std::uint64_t aKey, TimePoint aNow,
                                       std::set<std::string> aExcluded = {},
                                       Millis aLimit = 2s) const
  {
    const PlacementView view{ mRegistry, mTrips, mWarm,   mTimes,     mCold,
                              12,        4,      mUnseen, mShiftBound };
    const PlacementRequest request{ mRoute, mService, aKey, aNow + aLimit,
                                    std::move(aExcluded) };
    return ChooseOwner(view, request, aNow);
  }
};

std::uint64_t Key(int aNumber)
{
  return Hash(std::to_string(aNumber));
}

} // namespace

Test(placement, an_object_has_the_same_owner_at_every_entry)
{
  const Scene first(10, 20);
  const Scene second(10, 20);
  for (int n = 0; n < 100; ++n) {
    cr_assert_eq(first.Choose(Key(n), kNow).mTarget->mRegistration.mId,
                 second.Choose(Key(n), kNow).mTarget->mRegistration.mId);
  }
}

Test(placement, few_objects_move_when_a_target_leaves)
{
  Scene scene(20, 0);
  std::map<int, std::string> before;
  for (int n = 0; n < 400; ++n) {
    before[n] = scene.Choose(Key(n), kNow).mTarget->mRegistration.mId;
  }
  TakeRemoval(scene.mRegistry, "t3", kNow);
  for (const auto& [n, id] : before) {
    const auto choice = scene.Choose(Key(n), kNow);
    cr_assert(id == "t3" || choice.mTarget->mRegistration.mId == id);
    cr_assert_neq(choice.mTarget->mRegistration.mId, "t3");
  }
}

Test(placement, a_target_known_to_be_warm_is_worth_a_short_wait)
{
  Scene scene(10, 0);
  const auto owner = scene.Choose(Key(1), kNow).mTarget;
  NoteServed(scene.mWarm, WarmId(Key(1), owner->mLife), kNow);
  owner->mLoad.mOwn = 8;
  const auto choice = scene.Choose(Key(1), kNow);
  cr_assert_eq(choice.mTarget, owner);
  cr_assert_eq(choice.mWarmth, Warmth::Known);
  cr_assert_gt(choice.mWait.count(), 0);
}

Test(placement, a_target_that_others_found_warm_is_preferred_to_a_cold_owner)
{
  Scene scene(10, 0);
  const auto owner = scene.Choose(Key(1), kNow).mTarget;
  owner->mLoad.mOwn = 30;
  // Neither the first nor the second owner.
  for (auto& [id, target] : scene.mRegistry.mTargets) {
    const auto second = scene.Choose(Key(1), kNow).mTarget;
    if (target != owner && target != second) {
      HearServed(scene.mWarm, { WarmId(Key(1), target->mLife) }, kNow);
      const auto choice = scene.Choose(Key(1), kNow + 1s);
      cr_assert_eq(choice.mTarget, target);
      cr_assert_eq(choice.mWarmth, Warmth::Known);
      return;
    }
  }
  cr_assert_fail("no third target");
}

Test(placement, a_full_owner_spills_to_the_next_and_stays_there)
{
  Scene scene(10, 0);
  const auto owner = scene.Choose(Key(1), kNow).mTarget;
  owner->mLoad.mOwn = 30;
  const auto spilled = scene.Choose(Key(1), kNow).mTarget;
  cr_assert_neq(spilled, owner);
  cr_assert_eq(scene.Choose(Key(1), kNow).mTarget, spilled);
}

Test(placement, when_all_owners_are_full_the_request_is_refused_at_once)
{
  Scene scene(4, 0);
  for (auto& [id, target] : scene.mRegistry.mTargets) {
    target->mLoad.mOwn = 30;
  }
  const auto choice = scene.Choose(Key(1), kNow);
  cr_assert_eq(choice.mRefusal, PlacementRefusal::Full);
  // There is room again once the excess has been served.
  cr_assert_geq(choice.mClearsIn.count(), 100);
  cr_assert_leq(choice.mClearsIn.count(), 30 * 640 / 6);
}

Test(placement, a_request_that_would_end_too_late_is_refused_at_once)
{
  const Scene scene(4, 0);
  const auto choice = scene.Choose(Key(1), kNow, {}, 20ms);
  cr_assert_eq(choice.mRefusal, PlacementRefusal::TooLate);
}

Test(placement, what_is_urgent_waits_where_other_requests_are_refused)
{
  Scene scene(4, 0);
  for (auto& [id, target] : scene.mRegistry.mTargets) {
    target->mLoad.mOwn = 10;
  }
  scene.mRoute.mPriority = 2;
  cr_assert_eq(scene.Choose(Key(1), kNow).mRefusal, PlacementRefusal::Full);
  scene.mRoute.mPriority = 1;
  cr_assert_eq(scene.Choose(Key(1), kNow).mRefusal, PlacementRefusal::None);
}

Test(placement, requests_stay_in_the_allowed_regions)
{
  Scene scene(2, 10);
  scene.mRoute.mRegions = { "a" };
  for (auto& [id, target] : scene.mRegistry.mTargets) {
    target->mLoad.mOwn = target->mRegion == "a" ? 50 : 0;
  }
  cr_assert_eq(scene.Choose(Key(1), kNow).mRefusal, PlacementRefusal::Full);
  scene.mRoute.mRegions = { "c" };
  cr_assert_eq(scene.Choose(Key(1), kNow).mRefusal, PlacementRefusal::NoTarget);
}

Test(placement, the_shift_bound_between_regions_binds_while_there_is_room)
{
  Scene scene(4, 4);
  for (auto& [id, target] : scene.mRegistry.mTargets) {
    target->mLoad.mOwn = target->mRegion == "a" ? 8 : 0;
  }
  scene.mRoute.mPriority = 1;
  scene.mShiftBound.mMayLeave = false;
  cr_assert_not(scene.Choose(Key(1), kNow).mFar);
  scene.mShiftBound = { false, true };
  cr_assert(scene.Choose(Key(1), kNow).mFar);
}

// Pattern: a burst that leaves no room in the own region.
Test(placement, a_strict_shift_bound_binds_also_where_there_is_no_room)
{
  Scene scene(4, 4);
  for (auto& [id, target] : scene.mRegistry.mTargets) {
    target->mLoad.mOwn = target->mRegion == "a" ? 50 : 0;
  }
  scene.mShiftBound = { true, false, false };
  cr_assert(scene.Choose(Key(1), kNow).mFar);
  scene.mShiftBound.mStrict = true;
  const auto refused = scene.Choose(Key(1), kNow);
  cr_assert_eq(refused.mRefusal, PlacementRefusal::Bound);
  cr_assert(refused.mPrefersFar);
  cr_assert_gt(refused.mClearsIn.count(), 0);
  // With leave to go it goes, and a region without targets binds nobody.
  scene.mShiftBound.mMayLeave = true;
  cr_assert(scene.Choose(Key(1), kNow).mFar);
  Scene lost(0, 4);
  lost.mShiftBound = { true, false, true };
  cr_assert(lost.Choose(Key(1), kNow).mFar);
}

Test(placement, cold_targets_serve_only_where_there_is_no_other)
{
  Scene scene(2, 0);
  scene.mRegistry.mTargets["t0"]->mColdUntil = kNow + 3s;
  for (int n = 0; n < 20; ++n) {
    cr_assert_eq(scene.Choose(Key(n), kNow).mTarget->mRegistration.mId, "t1");
  }
  TakeRemoval(scene.mRegistry, "t1", kNow);
  cr_assert_eq(scene.Choose(Key(1), kNow).mRefusal, PlacementRefusal::None);
}

Test(placement, all_entries_together_keep_a_cold_target_below_its_rate)
{
  constexpr std::size_t kEntries = 12;
  const ColdBound bound{ 6.9, 1.5, 5 };
  std::vector<LiveTarget> copies(kEntries); // The target as each sees it.
  int sent = 0;
  constexpr int kSeconds = 10;
  for (auto now = kNow; now < kNow + Seconds(kSeconds); now += 10ms) {
    for (auto& it : copies) {
      if (MaySendCold(it, bound, kEntries, now)) {
        it.mLoad.mLastSend = now;
        ++sent;
      }
    }
  }
  cr_assert_leq(sent, 6.9 * kSeconds + kEntries);
  cr_assert_geq(sent, 6.9 * kSeconds * 0.5);
}

// Load: a service of which all targets start cold at once, so that every entry
// learns of each in the same moment and has requests for it.
Test(placement, first_requests_to_a_cold_target_take_turns)
{
  // Each entry sent its first request at once, however many entries there were,
  // and the target fell over.
  constexpr std::size_t kEntries = 61;
  const ColdBound bound{ 6.2, 1.5, 5 };
  const double allowed = bound.mRate * bound.mOver + bound.mSlack;
  std::vector<LiveTarget> copies(kEntries);
  for (std::size_t n = 0; n < kEntries; ++n) {
    copies[n].mColdSince = kNow;
    copies[n].mColdTurn =
      static_cast<double>(n) / static_cast<double>(kEntries);
  }
  std::vector<TimePoint> sends;
  for (auto now = kNow; now < kNow + 15s; now += 10ms) {
    for (auto& it : copies) {
      if (MaySendCold(it, bound, kEntries, now)) {
        it.mLoad.mLastSend = now;
        sends.push_back(now);
      }
    }
  }
  for (const auto from : sends) {
    const auto n = std::count_if(sends.begin(), sends.end(), [&](TimePoint a) {
      return a >= from && a < from + 1s;
    });
    cr_assert_leq(static_cast<double>(n), allowed);
  }
  cr_assert_geq(static_cast<double>(sends.size()), 0.5 * bound.mRate * 15);
}

// Pattern: rate limit shared without talk, for targets whose state is unknown.
Test(placement, a_target_that_may_be_cold_unseen_stays_below_the_bound)
{
  constexpr std::size_t kRegionEntries = 4;
  const ColdBound bound{ 6.9, 1.5, 5 };
  const double allowed = bound.mRate * bound.mOver + bound.mSlack;
  std::vector<LiveTarget> copies(kRegionEntries);
  std::vector<TimePoint> sends;
  for (auto now = kNow; now < kNow + 10s; now += 5ms) {
    for (auto& it : copies) {
      if (MaySendUnseen(it, bound, kRegionEntries, now)) {
        it.mLoad.mLastSend = now;
        sends.push_back(now);
      }
    }
  }
  for (std::size_t n = 0; n < sends.size(); ++n) {
    const auto end =
      std::lower_bound(sends.begin(), sends.end(), sends[n] + 1s);
    cr_assert_leq(static_cast<double>(end - sends.begin()) -
                    static_cast<double>(n),
                  allowed);
  }
  cr_assert_geq(sends.size(), 60U);
}

namespace {

struct Run
{
  TimePoint mEnd;
  LiveTarget* mTarget = nullptr;
  bool operator<(const Run& aOther) const { return mEnd > aOther.mEnd; }
};

/// What a run of requests came to.
struct Tally
{
  int mAsked = 0;
  int mInTime = 0; ///< Ended within the latency goal.
};

/// Picks a target, or none.
using Policy = std::function<LiveTarget*(Scene&, std::uint64_t, TimePoint)>;

/// What callers ask for, and what changes on the way.
struct Demand
{
  double mPerSecond = 0;
  std::uint64_t mObjects = 0;
  std::function<void(Scene&, TimePoint)> mChange; ///< After 8 s.
};

/// Offers a load of one class to targets that keep the last objects warm.
Tally Offer(Scene& aScene, const Policy& aPolicy, const Demand& aDemand)
{
  constexpr Millis kWarmRun{ 190 };
  constexpr Millis kColdRun{ 640 };
  constexpr Millis kGoal{ 500 };
  std::mt19937_64 random(42);
  std::exponential_distribution<double> gap(aDemand.mPerSecond / 1000);
  std::priority_queue<Run> running;
  std::map<std::pair<LiveTarget*, std::uint64_t>, TimePoint> warm;
  std::map<LiveTarget*, std::vector<TimePoint>> slots;
  Tally out;
  double atMs = 0;
  bool changed = false;
  while (atMs < 20'000) {
    atMs += gap(random);
    const auto now = kNow + Millis(static_cast<std::int64_t>(atMs));
    while (!running.empty() && running.top().mEnd <= now) {
      // A limit does not end, and each answer names it.
      auto& limit = running.top().mTarget->mLimit;
      TakeAnswer(limit, limit.mStatement.mPerSecond, now, now);
      --running.top().mTarget->mLoad.mOwn;
      running.pop();
    }
    if (now >= kNow + 8s && aDemand.mChange && !changed) {
      aDemand.mChange(aScene, now);
      changed = true;
    }
    const auto object = random() % aDemand.mObjects;
    const auto key = Hash(std::to_string(object));
    ++out.mAsked;
    auto* target = aPolicy(aScene, key, now);
    if (target == nullptr) {
      continue;
    }
    NoteSend(target->mLimit, now);
    target->mLoad.mLastSend = now;
    auto& free = slots[target];
    free.resize(target->mRegistration.mSlots, kNow);
    auto& slot = *std::min_element(free.begin(), free.end());
    const auto start = std::max(slot, now);
    auto& last = warm[{ target, object }];
    const bool isWarm = last != TimePoint{} && now - last < 8s;
    slot = start + (isWarm ? kWarmRun : kColdRun);
    last = slot;
    ++target->mLoad.mOwn;
    running.push({ slot, target });
    out.mInTime += slot - now <= kGoal ? 1 : 0;
    NoteServed(aScene.mWarm, WarmId(key, target->mLife), slot);
  }
  return out;
}

LiveTarget* LeastLoaded(Scene& aScene, std::uint64_t, TimePoint)
{
  LiveTarget* out = nullptr;
  for (auto& [id, target] : aScene.mRegistry.mTargets) {
    if (out == nullptr || target->mLoad.mOwn < out->mLoad.mOwn) {
      out = target.get();
    }
  }
  return out;
}

LiveTarget* Affinity(Scene& aScene, std::uint64_t aKey, TimePoint aNow)
{
  const auto choice = aScene.Choose(aKey, aNow);
  return choice.mRefusal == PlacementRefusal::None ? choice.mTarget.get()
                                                   : nullptr;
}

} // namespace

// Pattern: consistent hashing with bounded load, and load shedding.
Test(placement, affinity_keeps_its_capacity_where_even_spreading_collapses)
{
  // Ten targets serve 94 cold requests a second, 315 warm ones.
  constexpr double kPerSecond = 180;
  Scene even(10, 0);
  Scene held(10, 0);
  const auto spread = Offer(even, LeastLoaded, { kPerSecond, 150, {} });
  const auto kept = Offer(held, Affinity, { kPerSecond, 150, {} });
  cr_assert_geq(kept.mInTime, kept.mAsked * 0.7, "%d of %d in time",
                kept.mInTime, kept.mAsked);
  cr_assert_geq(kept.mInTime, 2 * spread.mInTime, "%d against %d", kept.mInTime,
                spread.mInTime);
}

// Pattern: load shedding before queues make every answer late.
Test(placement, under_overload_most_of_what_is_taken_ends_in_time)
{
  Scene scene(10, 0);
  const auto over = Offer(scene, Affinity, { 450, 150, {} });
  cr_assert_geq(over.mInTime, 20 * 315 * 0.5, "%d of %d in time", over.mInTime,
                over.mAsked);
}

Test(placement, a_target_at_its_rate_limit_leaves_requests_to_the_next_owner)
{
  Scene scene(10, 0);
  const auto owner = scene.Choose(Key(1), kNow).mTarget;
  TakeAnswer(owner->mLimit, 1.0, kNow, kNow);
  const auto next = scene.Choose(Key(1), kNow);
  cr_assert_neq(next.mTarget, owner);
  cr_assert_eq(next.mRefusal, PlacementRefusal::None);
  // It keeps the objects that it has warm, as far as its limit goes.
  NoteServed(scene.mWarm, WarmId(Key(1), owner->mLife), kNow);
  cr_assert_neq(scene.Choose(Key(1), kNow).mTarget, owner);
  SetShare(owner->mLimit, { 1, 0 }, kNow);
  cr_assert_eq(scene.Choose(Key(1), kNow).mTarget, owner);
}

// Guards against a limit that holds long after the target last named it: in
// calm all owners are cheaper, so that no request asked whether it had ended.
Test(placement, a_target_that_has_not_confirmed_its_limit_owns_objects_again)
{
  Scene scene(10, 0);
  const auto owner = scene.Choose(Key(1), kNow).mTarget;
  TakeAnswer(owner->mLimit, 1.0, kNow, kNow);
  SetShare(owner->mLimit, { 1, 0 }, kNow);
  cr_assert_neq(scene.Choose(Key(1), kNow + 9s).mTarget, owner);
  const auto later = kNow + 11s;
  cr_assert_eq(scene.Choose(Key(1), later).mTarget, owner);
  // One request asks, and its answer tells whether the limit holds.
  NoteSend(owner->mLimit, later);
  owner->mLoad.mLastSend = later;
  cr_assert_neq(scene.Choose(Key(1), later + 2s).mTarget, owner);
  TakeAnswer(owner->mLimit, 1.0, later, later + 3s);
  cr_assert_neq(scene.Choose(Key(1), later + 4s).mTarget, owner);
}

Test(placement, where_all_targets_are_at_their_limits_the_refusal_tells_when)
{
  Scene scene(2, 0);
  for (const auto& [id, target] : scene.mRegistry.mTargets) {
    TakeAnswer(target->mLimit, 0.5, kNow, kNow);
    SetShare(target->mLimit, { 1, 0 }, kNow);
    for (int n = 0; n < 10; ++n) {
      NoteSend(target->mLimit, kNow);
    }
  }
  const auto choice = scene.Choose(Key(1), kNow);
  cr_assert_eq(choice.mRefusal, PlacementRefusal::Limited);
  cr_assert_eq(choice.mClearsIn, 2'000ms);
  cr_assert_eq(scene.Choose(Key(1), kNow + 2s).mRefusal,
               PlacementRefusal::None);
}

// Pattern: partial loss of capacity. A target that still takes some requests is
// worth more than one that is gone.
Test(placement, targets_that_name_limits_serve_more_than_if_they_were_gone)
{
  const auto eachSecondTarget =
    [](const std::function<void(LiveTarget&, TimePoint)>& aDo) {
      return [aDo](Scene& aScene, TimePoint aNow) {
        int n = 0;
        for (const auto& [id, target] : aScene.mRegistry.mTargets) {
          if (n++ % 2 == 0) {
            aDo(*target, aNow);
          }
        }
      };
    };
  const auto limit = eachSecondTarget([](LiveTarget& a, TimePoint aNow) {
    TakeAnswer(a.mLimit, 2.2, aNow, aNow);
    SetShare(a.mLimit, { 1, 0 }, aNow);
  });
  const auto leave =
    eachSecondTarget([](LiveTarget& a, TimePoint) { a.mLeft = true; });
  for (const double perSecond : { 200.0, 320.0, 400.0 }) {
    for (const std::uint64_t objects : { 150U, 600U, 1500U }) {
      Scene limited(34, 0);
      Scene gone(34, 0);
      const auto with = Offer(limited, Affinity, { perSecond, objects, limit });
      const auto without = Offer(gone, Affinity, { perSecond, objects, leave });
      cr_assert_geq(with.mInTime, without.mInTime,
                    "%.0f a second, %d objects: %d against %d of %d", perSecond,
                    static_cast<int>(objects), with.mInTime, without.mInTime,
                    with.mAsked);
    }
  }
}
