/// Several entries that place requests on the same targets, in simulated time.

#include <guavaline/core/hash.hpp>
#include <guavaline/placement/peer_load.hpp>
#include <guavaline/placement/placement.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <queue>
#include <random>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

constexpr int kTargets = 40;
constexpr int kSlowTargets = 6;
constexpr double kSlowFactor = 2.5;
constexpr std::uint64_t kObjects = 300;
constexpr std::size_t kCached = 20;
constexpr Millis kEnd = 20s;
constexpr Millis kColdRun{ 700 };
constexpr double kWarmPart = 0.3;
const TimePoint kStart{ 1000s };

struct Load
{
  std::size_t mEntries;
  std::uint32_t mSlots;
  double mPerSecond;
  bool mShared; ///< Contended: shared loads, run percents and draws.
};

struct Outcome
{
  int mSent = 0;
  int mArrived = 0;
  int mWaited = 0;
  int mRefused = 0;           ///< Attempts; each is made again later.
  std::uint64_t mWaiting = 0; ///< Summed over all samples of all targets.
  std::uint64_t mSamples = 0;
  std::size_t mHighest = 0;
  double mBusy = 0;  ///< Summed over the samples.
  Millis mTook{ 0 }; ///< Summed from arrivals to answers, refusals included.
};

struct Request
{
  std::uint64_t mKey = 0;
  std::size_t mEntry = 0;
  bool mReturning = false;
  PlacementChoice mChoice;
  TimePoint mArrived;
  TimePoint mSent;
};

struct SimulatedTarget
{
  std::uint32_t mRunning = 0;
  std::deque<Request> mQueue;
  std::deque<std::uint64_t> mCache;
};

struct SimulatedEntry
{
  TargetRegistry mRegistry;
  RoundTrips mTrips;
  WarmTable mWarm;
  RunTimes mTimes;
  TimePoint mHeard{};
};

class Simulation
{
public:
  explicit Simulation(const Load& aLoad)
    : mLoad(aLoad)
    , mEntries(aLoad.mEntries)
    , mTargets(kTargets)
    , mSlow(kTargets)
  {
    mRoute.mPriority = 2;
    for (auto& it : mEntries) {
      it.mRegistry.mDomains = { { "a1", "a" } };
      it.mTrips.mOwnDomain = "a1";
      it.mTrips.mOwnRegion = "a";
      for (int n = 0; n < kTargets; ++n) {
        Registration target;
        target.mId = std::to_string(n);
        target.mService = mService;
        target.mFailureDomain = "a1";
        target.mSlots = aLoad.mSlots;
        TakeRegistration(it.mRegistry, target, kStart);
      }
    }
    Every(600ms, 0ms, [this] { ChangeSlow(); });
    Every(50ms, 25ms, [this] { Sample(); });
    for (std::size_t n = 0; n < mEntries.size(); ++n) {
      Every(200ms, Millis(200 * n / mEntries.size()), [this, n] { Tell(n); });
    }
    Arrive();
  }

  Outcome Run()
  {
    while (!mEvents.empty()) {
      const auto event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      event.mDo();
    }
    return mOut;
  }

private:
  struct Event
  {
    TimePoint mAt;
    std::uint64_t mOrder;
    std::function<void()> mDo;
    bool operator<(const Event& aOther) const
    {
      return std::pair(aOther.mAt, aOther.mOrder) < std::pair(mAt, mOrder);
    }
  };

  void After(std::chrono::nanoseconds aTime, std::function<void()> aDo)
  {
    mEvents.push({ mNow + aTime, ++mOrder, std::move(aDo) });
  }

  void Every(Millis aPeriod, Millis aFirst, const std::function<void()>& aDo)
  {
    After(aFirst, [this, aPeriod, aDo] {
      if (mNow < kStart + kEnd) {
        aDo();
        Every(aPeriod, aPeriod, aDo);
      }
    });
  }

  static double Uniform(std::mt19937_64& aRandom)
  {
    return static_cast<double>(aRandom() >> 11U) * 0x1p-53;
  }

  void Arrive()
  {
    After(std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double>(-std::log(1 - Uniform(mArrivals)) /
                                          mLoad.mPerSecond)),
          [this] {
            if (mNow >= kStart + kEnd) {
              return;
            }
            ++mOut.mArrived;
            // Low numbers come more often.
            const auto object =
              static_cast<std::uint64_t>(static_cast<double>(kObjects) *
                                         std::pow(Uniform(mArrivals), 1.5));
            Request request;
            request.mArrived = mNow;
            request.mKey = HashPair(object, 1);
            request.mEntry = mArrivals() % mEntries.size();
            Place(std::move(request));
            Arrive();
          });
  }

  void Place(Request aRequest)
  {
    auto& entry = mEntries[aRequest.mEntry];
    const PlacementView view{ entry.mRegistry, entry.mTrips, entry.mWarm,
                              entry.mTimes,    {},           mEntries.size(),
                              mEntries.size(), false,        {},
                              mLoad.mShared,   entry.mHeard };
    const PlacementRequest request{ mRoute,     mService, aRequest.mKey,
                                    mNow + 60s, {},       aRequest.mReturning,
                                    mDraws() };
    aRequest.mChoice = ChooseOwner(view, request, mNow);
    if (aRequest.mChoice.mRefusal != PlacementRefusal::None) {
      ++mOut.mRefused;
      aRequest.mReturning = true;
      After(aRequest.mChoice.mClearsIn, [this, aRequest] { Place(aRequest); });
      return;
    }
    ++mOut.mSent;
    auto& load = aRequest.mChoice.mTarget->mLoad;
    ++load.mOwn;
    load.mLastSend = mNow;
    aRequest.mSent = mNow;
    const auto n = NumberOf(aRequest);
    auto& target = mTargets[n];
    if (target.mRunning < mLoad.mSlots) {
      Start(n, aRequest);
    } else {
      ++mOut.mWaited;
      target.mQueue.push_back(aRequest);
    }
  }

  static std::size_t NumberOf(const Request& aRequest)
  {
    return std::stoul(aRequest.mChoice.mTarget->mRegistration.mId);
  }

  void Start(std::size_t aTarget, const Request& aRequest)
  {
    auto& target = mTargets[aTarget];
    ++target.mRunning;
    const bool warm = std::erase(target.mCache, aRequest.mKey) > 0;
    target.mCache.push_back(aRequest.mKey);
    if (target.mCache.size() > kCached) {
      target.mCache.pop_front();
    }
    double ms = static_cast<double>(kColdRun.count()) * (warm ? kWarmPart : 1);
    ms *= (mSlow[aTarget] ? kSlowFactor : 1) * (Uniform(mRuns) < 0.03 ? 7 : 1);
    After(Millis(static_cast<std::int64_t>(ms)),
          [this, aTarget, aRequest] { Finish(aTarget, aRequest); });
  }

  void Finish(std::size_t aTarget, const Request& aRequest)
  {
    auto& target = mTargets[aTarget];
    --target.mRunning;
    mOut.mTook += std::chrono::duration_cast<Millis>(mNow - aRequest.mArrived);
    if (!target.mQueue.empty()) {
      const auto next = target.mQueue.front();
      target.mQueue.pop_front();
      Start(aTarget, next);
    }
    // As the entry learns from an answer.
    auto& entry = mEntries[aRequest.mEntry];
    const auto& choice = aRequest.mChoice;
    auto& load = choice.mTarget->mLoad;
    const ReportedLoad report{ target.mRunning,
                               static_cast<std::uint32_t>(target.mQueue.size()),
                               mLoad.mSlots, mSlow[aTarget] ? 250 : 100 };
    --load.mOwn;
    NoteReport(load, report, load.mOwn, mNow);
    auto took = std::chrono::duration_cast<Millis>(mNow - aRequest.mSent);
    auto expected = choice.mWait + choice.mRun;
    if (mLoad.mShared) {
      NoteSharedReport(load, report, load.mOwn, mNow);
      took = AtUsualSpeed(took, report.mRunPercent);
      expected = WithoutFactor(expected, choice.mRunFactor);
    }
    if (choice.mWait == 0ms && Slowness(load, mNow) < 1.5) {
      NoteRun(entry.mTimes, choice.mWarmth, took);
    }
    NoteAnswer(load, took, expected, mNow);
    NoteServed(entry.mWarm, WarmId(aRequest.mKey, choice.mTarget->mLife), mNow);
  }

  void ChangeSlow()
  {
    std::fill(mSlow.begin(), mSlow.end(), false);
    std::fill_n(mSlow.begin(), kSlowTargets, true);
    std::shuffle(mSlow.begin(), mSlow.end(), mSlows);
  }

  void Sample()
  {
    for (const auto& it : mTargets) {
      mOut.mWaiting += it.mQueue.size();
      mOut.mHighest = std::max(mOut.mHighest, it.mQueue.size());
      mOut.mBusy += static_cast<double>(it.mRunning) / mLoad.mSlots;
      ++mOut.mSamples;
    }
  }

  struct Told
  {
    std::string mTarget;
    std::uint32_t mInFlight;
    std::optional<LoadReport> mReport;
  };

  /// Sends an entry's news to the others, where they arrive 50 ms later.
  void Tell(std::size_t aEntry)
  {
    std::vector<Told> news;
    for (const auto& [id, target] : mEntries[aEntry].mRegistry.mTargets) {
      auto& load = target->mLoad;
      if (mLoad.mShared && HasLoadNews(load, mNow)) {
        news.push_back({ id, load.mOwn, std::nullopt });
        if (HasNewReport(load)) {
          news.back().mReport = load.mShared.mOwnReport;
        }
        MarkTold(load, mNow);
      }
    }
    const auto warm = TakeUntold(mEntries[aEntry].mWarm);
    After(50ms, [this, aEntry, news, warm] { Hear(aEntry, news, warm); });
  }

  void Hear(std::size_t aFrom, const std::vector<Told>& aNews,
            const std::vector<std::uint64_t>& aWarm)
  {
    for (std::size_t n = 0; n < mEntries.size(); ++n) {
      if (n == aFrom) {
        continue;
      }
      HearServed(mEntries[n].mWarm, aWarm, mNow);
      for (const auto& it : aNews) {
        auto& load = mEntries[n].mRegistry.mTargets[it.mTarget]->mLoad;
        if (it.mReport) {
          HearReport(load, aFrom + 1, *it.mReport, mNow);
        }
        HearFlights(load, aFrom + 1, it.mInFlight, mNow);
        mEntries[n].mHeard = mNow;
      }
    }
  }

  Load mLoad;
  Route mRoute;
  std::string mService = "tours";
  std::vector<SimulatedEntry> mEntries;
  std::vector<SimulatedTarget> mTargets;
  std::vector<bool> mSlow;
  std::mt19937_64 mArrivals{ 40 };
  std::mt19937_64 mRuns{ 43 };
  std::mt19937_64 mDraws{ 41 };
  std::mt19937_64 mSlows{ 42 };
  std::priority_queue<Event> mEvents;
  std::uint64_t mOrder = 0;
  TimePoint mNow = kStart;
  Outcome mOut;
};

double MeanQueue(const Outcome& aOut)
{
  return static_cast<double>(aOut.mWaiting) /
         static_cast<double>(aOut.mSamples);
}

double WaitingPart(const Outcome& aOut)
{
  return static_cast<double>(aOut.mWaited) / aOut.mSent;
}

Outcome RunWith(Load aLoad, bool aShared)
{
  aLoad.mShared = aShared;
  const auto out = Simulation(aLoad).Run();
  std::printf("%zu entries, %u slots, %.0f/s, shared loads %s: busy %.2f, "
              "mean queue %.3f, highest %zu, waited %.3f, refused %d, "
              "mean time %lld ms, "
              "sent %d of %d\n",
              aLoad.mEntries, aLoad.mSlots, aLoad.mPerSecond,
              aShared ? "on" : "off",
              out.mBusy / static_cast<double>(out.mSamples), MeanQueue(out),
              out.mHighest, WaitingPart(out), out.mRefused,
              static_cast<long long>(out.mTook.count() / out.mSent), out.mSent,
              out.mArrived);
  return out;
}

void ExpectMoreEven(const Load& aLoad)
{
  const auto off = RunWith(aLoad, false);
  const auto on = RunWith(aLoad, true);
  cr_expect_lt(MeanQueue(on), 0.75 * MeanQueue(off));
  cr_expect_lt(on.mHighest, off.mHighest);
  cr_expect_lt(WaitingPart(on), 0.75 * WaitingPart(off));
  cr_expect_leq(on.mTook.count(), off.mTook.count());
  // No probe and no second request to a target.
  cr_expect_eq(off.mSent, off.mArrived);
  cr_expect_eq(on.mSent, on.mArrived);
}

} // namespace

// Guards against entries that each know only their own requests and overload
// targets in turn while others are idle.
Test(even_load, six_entries_over_targets_of_six_slots)
{
  ExpectMoreEven({ 6, 6, 300, false });
}

Test(even_load, twelve_entries_over_targets_of_six_slots)
{
  ExpectMoreEven({ 12, 6, 300, false });
}

Test(even_load, six_entries_over_targets_of_three_slots)
{
  ExpectMoreEven({ 6, 3, 130, false });
}

Test(even_load, twelve_entries_over_targets_of_three_slots)
{
  ExpectMoreEven({ 12, 3, 130, false });
}
