#include <guavaline/core/hash.hpp>
#include <guavaline/placement/latency_goal.hpp>
#include <guavaline/placement/placement.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };

} // namespace

Test(latency_goal, it_counts_from_the_callers_first_attempt)
{
  // A returning caller names the time that is left of its full limit. Counted
  // from the second attempt its goal would end later than the caller's own.
  const auto fresh = GoalEnd(kNow, 5000ms, 5000ms, 600ms);
  cr_assert_lt((fresh - kNow).count(), Clock::duration(600ms).count());
  cr_assert_eq((GoalEnd(kNow, 5000ms, 4600ms, 600ms) - fresh).count(),
               Clock::duration(-400ms).count());
  cr_assert_eq((GoalEnd(kNow, 4000ms, 5000ms, 600ms) - fresh).count(), 0);
}

Test(latency_goal, late_work_never_waits)
{
  // Late work that waits delays work that is on time: a burst then makes all
  // work late.
  const LatencyGoal goal{ kNow + 500ms };
  cr_assert_eq(FitOf(goal, { 200ms, 300ms, 0ms, 0, 3 }, kNow), GoalFit::InTime);
  cr_assert_eq(FitOf(goal, { 201ms, 300ms, 0ms, 0, 3 }, kNow), GoalFit::None);
  cr_assert_eq(FitOf(goal, { 150ms, 300ms, 60ms, 0, 3 }, kNow), GoalFit::None);
  // A cold run alone may take longer than the goal; refusing it would leave
  // the target cold.
  cr_assert_eq(FitOf(goal, { 0ms, 900ms, 0ms, 1, 3 }, kNow),
               GoalFit::LateAtOnce);
  cr_assert_eq(FitOf(goal, { 0ms, 900ms, 0ms, 0.2, 3 }, kNow), GoalFit::None);
}

Test(latency_goal, a_late_return_needs_a_quarter_of_the_slots)
{
  const LatencyGoal late{ kNow - 100ms, true };
  cr_assert_eq(FitOf(late, { 0ms, 100ms, 0ms, 1, 3 }, kNow),
               GoalFit::LateAtOnce);
  cr_assert_eq(FitOf(late, { 0ms, 100ms, 0ms, 1, 12 }, kNow), GoalFit::None);
  cr_assert_eq(FitOf(late, { 0ms, 100ms, 0ms, 3, 12 }, kNow),
               GoalFit::LateAtOnce);
  cr_assert_eq(FitOf(late, { 1ms, 100ms, 0ms, 0, 3 }, kNow), GoalFit::None);
}

Test(latency_goal, a_lower_priority_waits_less_but_a_free_slot_takes_it)
{
  Millis last = 401ms;
  for (std::uint32_t rank = 0; rank < 6; ++rank) {
    const auto longest = LongestWait(400ms, rank);
    cr_assert_lt(longest.count(), last.count());
    last = longest;
    const LatencyGoal goal{ kNow + 500ms, false, rank };
    cr_assert_eq(FitOf(goal, { longest, 100ms, 0ms, 0, 3 }, kNow),
                 GoalFit::InTime);
    cr_assert_eq(FitOf(goal, { 0ms, 900ms, 0ms, 1, 3 }, kNow),
                 GoalFit::LateAtOnce);
  }
  cr_assert_eq(LongestWait(-10ms, 0).count(), 0);
}

Test(latency_goal, retry_after_names_when_there_is_a_place)
{
  // Callers return once: too early means that they are refused for good.
  const GoalForecast forecast{ 300ms, 100ms, 0ms, 0, 3 };
  // The wait fits 0.6 of the time left once 300 - R is 0.6 times 350 - R.
  const auto fits = RetryAfter({ kNow + 450ms, false, 1 }, forecast, kNow);
  cr_assert_geq(fits.count(), 224);
  cr_assert_leq(fits.count(), 225);
  // It will never fit; a slot is free after the wait.
  cr_assert_eq(RetryAfter({ kNow + 350ms, false, 0 }, forecast, kNow).count(),
               300);
  cr_assert_eq(
    RetryAfter({ kNow + 50ms }, { 5ms, 100ms, 0ms, 0, 3 }, kNow).count(), 100);
}

namespace {

constexpr int kTargets = 20;
constexpr std::uint32_t kSlots = 3;
constexpr int kEntries = 20;
constexpr int kObjects = 160;
constexpr std::size_t kCached = 20; ///< Objects that a target keeps warm.
constexpr double kWarmMs = 200;
constexpr double kColdMs = 667;
constexpr Millis kGoal{ 1'000 };
constexpr Millis kLimit{ 5'000 };
/// Requests a second that all slots serve with warm runs.
constexpr double kCapacity = kTargets * kSlots * 1'000 / kWarmMs;
constexpr Millis kBurstStart{ 10'000 };
constexpr Millis kBurstEnd{ 13'000 };
constexpr Millis kRecovered{ 15'000 };
constexpr Millis kEnd{ 19'000 };
/// How often entries tell each other of their requests.
constexpr Millis kExchange{ 200 };

/// One caller's request.
struct Call
{
  std::uint64_t mKey = 0;
  std::uint32_t mPriority = 0;
  Millis mStarted{ 0 };
  bool mReturning = false;
};

/// A target as it is, beyond what entries know of it.
struct Machine
{
  std::uint32_t mRunning = 0;
  std::deque<std::function<void()>> mWaiting;
  std::deque<std::uint64_t> mCache; ///< Last used first.

  /// @returns true where the object was warm
  bool Use(std::uint64_t aKey)
  {
    const auto it = std::find(mCache.begin(), mCache.end(), aKey);
    const bool out = it != mCache.end();
    if (out) {
      mCache.erase(it);
    }
    mCache.push_front(aKey);
    mCache.resize(std::min(mCache.size(), kCached));
    return out;
  }
};

/// What one entry knows.
struct Knowledge
{
  TargetRegistry mRegistry;
  RoundTrips mTrips;
  WarmTable mWarm;
  RunTimes mTimes;
  ForecastError mError;
};

struct Served
{
  int mAll = 0;
  int mInGoal = 0;
  int mLate = 0;

  [[nodiscard]] double Part() const { return 1.0 * mInGoal / mAll; }
};

/// Callers, entries and targets on one event queue, without a network.
class Loop
{
public:
  Loop(std::uint64_t aSeed, bool aContended)
    : mContended(aContended)
    , mRandom(aSeed)
  {
    for (auto& it : mEntries) {
      it.mRegistry.mDomains = { { "a1", "a" } };
      it.mTrips.mOwnDomain = "a1";
      it.mTrips.mOwnRegion = "a";
      for (int n = 0; n < kTargets; ++n) {
        Registration target;
        target.mId = "t" + std::to_string(n);
        target.mService = "proofs";
        target.mFailureDomain = "a1";
        target.mSlots = kSlots;
        TakeRegistration(it.mRegistry, target, kNow);
      }
    }
  }

  /// @param aNormal  demand outside of the burst, as a part of the capacity
  void Run(double aNormal)
  {
    Arrive(aNormal);
    Exchange();
    while (!mEvents.empty()) {
      const auto event = mEvents.top();
      mEvents.pop();
      mTime = event.mAt;
      event.mDo();
    }
  }

  /// @returns what came of calls that started in a time
  [[nodiscard]] Served Sum(Millis aFrom, Millis aTo,
                           std::optional<std::uint32_t> aPriority = {}) const
  {
    Served out;
    for (const auto& [call, took] : mEnded) {
      if (call.mStarted < aFrom || call.mStarted >= aTo ||
          call.mPriority != aPriority.value_or(call.mPriority)) {
        continue;
      }
      ++out.mAll;
      out.mInGoal += took && *took <= kGoal ? 1 : 0;
      out.mLate += took && *took > kGoal ? 1 : 0;
    }
    return out;
  }

  void Log(const char* aName) const
  {
    for (auto at = 0ms; at < kEnd; at += 1s) {
      const auto sum = Sum(at, at + 1s);
      const auto urgent = Sum(at, at + 1s, 0);
      cr_log_info(
        "%s second %d: %d calls, %d within the goal (%d of %d urgent), "
        "%d late, %d refused",
        aName, static_cast<int>(at / 1s), sum.mAll, sum.mInGoal, urgent.mInGoal,
        urgent.mAll, sum.mLate, sum.mAll - sum.mInGoal - sum.mLate);
    }
  }

private:
  struct Event
  {
    Millis mAt;
    std::uint64_t mNumber;
    std::function<void()> mDo;

    bool operator<(const Event& aOther) const
    {
      return std::tie(mAt, mNumber) > std::tie(aOther.mAt, aOther.mNumber);
    }
  };

  void At(Millis aTime, std::function<void()> aDo)
  {
    mEvents.push({ aTime, ++mNumber, std::move(aDo) });
  }

  void Arrive(double aNormal)
  {
    const bool burst = mTime >= kBurstStart && mTime < kBurstEnd;
    const double rate = kCapacity * (burst ? 2 : aNormal);
    std::exponential_distribution<double> gap(rate / 1'000);
    mArrival += gap(mRandom);
    if (mArrival >= static_cast<double>(kEnd.count())) {
      return;
    }
    At(Millis(static_cast<std::int64_t>(mArrival)), [this, aNormal] {
      Call call{ Hash(std::to_string(mRandom() % kObjects)),
                 static_cast<std::uint32_t>(mRandom() % 2), mTime };
      Place(call);
      Arrive(aNormal);
    });
  }

  /// Entries tell each other how many requests each has at each target.
  void Exchange()
  {
    for (const auto& [id, target] : mEntries[0].mRegistry.mTargets) {
      std::uint32_t all = 0;
      for (const auto& it : mEntries) {
        all += it.mRegistry.mTargets.at(id)->mLoad.mOwn;
      }
      for (const auto& it : mEntries) {
        auto& load = it.mRegistry.mTargets.at(id)->mLoad;
        NoteReport(load, { all, 0, kSlots, {} }, load.mOwn, kNow + mTime);
        load.mOthersMean = load.mOthers;
      }
    }
    if (mTime < kEnd) {
      At(mTime + kExchange, [this] { Exchange(); });
    }
  }

  void Place(Call aCall)
  {
    auto& entry = mEntries[mRandom() % kEntries];
    const auto now = kNow + mTime;
    Route route;
    route.mPriority = aCall.mPriority;
    route.mLatencyGoal = kGoal;
    PlacementView view{ entry.mRegistry, entry.mTrips, entry.mWarm,
                        entry.mTimes,    ColdBound{},  kEntries,
                        kEntries,        false,        ShiftBound{} };
    view.mContended = mContended;
    view.mMeanRun = Millis(static_cast<std::int64_t>(entry.mTimes.mMeanMs));
    view.mError = ErrorOf(entry.mError, now);
    const auto left = kLimit - (mTime - aCall.mStarted);
    PlacementRequest request{ route,      mService, aCall.mKey,
                              now + left, {},       aCall.mReturning };
    request.mGoalEnd = GoalEnd(now, kLimit, left, kGoal);
    request.mReturnsLate = aCall.mReturning && *request.mGoalEnd <= now;
    const auto choice = ChooseOwner(view, request, now);
    if (choice.mRefusal == PlacementRefusal::None) {
      Send(entry, aCall, choice);
    } else if (aCall.mReturning) {
      mEnded.emplace_back(aCall, std::nullopt);
    } else {
      aCall.mReturning = true;
      At(mTime + std::min(choice.mClearsIn, left / 3),
         [this, aCall] { Place(aCall); });
    }
  }

  void Send(Knowledge& aEntry, const Call& aCall,
            const PlacementChoice& aChoice)
  {
    auto& machine = mMachines[aChoice.mTarget->mRegistration.mId];
    ++aChoice.mTarget->mLoad.mOwn;
    const auto sent = mTime;
    auto start = [this, &aEntry, &machine, aCall, aChoice, sent] {
      ++machine.mRunning;
      std::uniform_real_distribution<double> spread(0.6, 1.4);
      const double ms =
        (machine.Use(aCall.mKey) ? kWarmMs : kColdMs) * spread(mRandom);
      At(mTime + Millis(static_cast<std::int64_t>(ms)),
         [this, &aEntry, &machine, aCall, aChoice, sent] {
           --machine.mRunning;
           if (!machine.mWaiting.empty()) {
             const auto next = std::move(machine.mWaiting.front());
             machine.mWaiting.pop_front();
             next();
           }
           Learn(aEntry, machine, aCall, aChoice, mTime - sent);
           mEnded.emplace_back(aCall, mTime - aCall.mStarted);
         });
    };
    if (machine.mRunning < kSlots) {
      start();
    } else {
      machine.mWaiting.emplace_back(std::move(start));
    }
  }

  /// What an entry learns from an answer.
  void Learn(Knowledge& aEntry, const Machine& aMachine, const Call& aCall,
             const PlacementChoice& aChoice, Millis aTook)
  {
    const auto now = kNow + mTime;
    auto& target = *aChoice.mTarget;
    const auto waiting = static_cast<std::uint32_t>(aMachine.mWaiting.size());
    --target.mLoad.mOwn;
    NoteReport(target.mLoad, { aMachine.mRunning, waiting, kSlots, {} },
               target.mLoad.mOwn, now);
    if (aChoice.mWait == 0ms && Slowness(target.mLoad, now) < 1.5) {
      NoteRun(aEntry.mTimes, aChoice.mWarmth, aTook);
    }
    NoteError(aEntry.mError, aTook - aChoice.mWait - aChoice.mRun, now);
    NoteAnswer(target.mLoad, aTook, aChoice.mWait + aChoice.mRun, now);
    for (auto& it : mEntries) {
      HearServed(it.mWarm, { WarmId(aCall.mKey, target.mLife) }, now);
    }
  }

  bool mContended;
  std::mt19937_64 mRandom;
  std::string mService = "proofs";
  std::array<Knowledge, kEntries> mEntries;
  std::map<std::string, Machine> mMachines;
  std::priority_queue<Event> mEvents;
  std::uint64_t mNumber = 0;
  Millis mTime{ 0 };
  double mArrival = 0;
  std::vector<std::pair<Call, std::optional<Millis>>> mEnded;
};

constexpr double kNormal = 0.5;
constexpr std::uint64_t kSeeds = 6;
/// Part of the capacity that a burst has to get within the goal.
constexpr double kMost = 0.9;

void Add(Served& aSum, const Served& aMore)
{
  aSum.mAll += aMore.mAll;
  aSum.mInGoal += aMore.mInGoal;
  aSum.mLate += aMore.mLate;
}

} // namespace

// A small region whose load runs in others: with one far owner per object its
// requests are refused while other far targets have room.
Test(latency_goal, a_second_far_owner_helps_while_the_first_is_full)
{
  for (const bool contended : { false, true }) {
    Knowledge entry;
    entry.mRegistry.mDomains = { { "a1", "a" }, { "b1", "b" } };
    entry.mTrips.mOwnDomain = "a1";
    entry.mTrips.mOwnRegion = "a";
    for (int n = 0; n < 8; ++n) {
      Registration target;
      target.mId = "t" + std::to_string(n);
      target.mService = "proofs";
      target.mFailureDomain = n < 2 ? "a1" : "b1";
      target.mSlots = kSlots;
      TakeRegistration(entry.mRegistry, target, kNow);
    }
    PlacementView view{ entry.mRegistry, entry.mTrips, entry.mWarm,
                        entry.mTimes,    ColdBound{},  kEntries,
                        kEntries,        false,        ShiftBound{} };
    view.mContended = contended;
    const Route route;
    const std::string service = "proofs";
    PlacementRequest request{ route, service, 7, kNow + 5s, {} };
    request.mGoalEnd = kNow + 900ms;
    for (auto& [id, target] : entry.mRegistry.mTargets) {
      target->mLoad.mOwn = target->mRegion == "a" ? 50 : 0;
    }
    const auto first = ChooseOwner(view, request, kNow);
    cr_assert(first.mFar);
    first.mTarget->mLoad.mOwn = 50;
    const auto second = ChooseOwner(view, request, kNow);
    cr_assert_eq(second.mRefusal == PlacementRefusal::None, contended);
  }
}

// Pattern: a burst of 2x capacity for 3 s, then normal demand.
Test(latency_goal, a_burst_is_served_within_the_goal_up_to_the_capacity)
{
  Served urgent;
  Served other;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Loop loop(seed, true);
    loop.Run(kNormal);
    loop.Log("with goals");
    const auto burst = loop.Sum(kBurstStart, kBurstEnd);
    cr_expect_geq(burst.mInGoal, kMost * kCapacity * 3);
    cr_expect_geq(loop.Sum(kRecovered, kEnd).Part(), 0.9);
    Add(urgent, loop.Sum(kBurstStart, kBurstEnd, 0));
    Add(other, loop.Sum(kBurstStart, kBurstEnd, 1));
    // The urgent ones are never served less often.
    cr_expect_geq(loop.Sum(kBurstStart, kBurstEnd, 0).Part(),
                  loop.Sum(kBurstStart, kBurstEnd, 1).Part());
  }
  cr_expect_gt(urgent.Part(), other.Part() + 0.05);
}

// The control: without goals in placement the same burst is served late.
Test(latency_goal, without_goals_the_same_burst_is_served_late)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Loop loop(seed, false);
    loop.Run(kNormal);
    loop.Log("without goals");
    cr_expect_lt(loop.Sum(kBurstStart, kBurstEnd).mInGoal,
                 kMost * kCapacity * 3);
  }
}
