#include "experiment/experiment.hpp"

#include "experiment/describe.hpp"

#include <guavaline/admission/queue.hpp>
#include <guavaline/admission/slots.hpp>
#include <guavaline/targets/health.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <random>

namespace guavaline::testing {

namespace {

constexpr double kMicrosPerMilli = 1000;
constexpr Millis kLoanTime{ 20'000 };
constexpr Millis kAskPause{ 100 };
constexpr Millis kAskerMemory{ 500 };
constexpr std::size_t kLendersPerTry = 4;
constexpr int kMaxTries = 3;

using Micros = std::chrono::microseconds;

struct Request
{
  TimePoint mArrived;
  TimePoint mDeadline;
  int mTries = 0;
};

struct Entry;

/// An entry that asked in vain.
struct Asker
{
  Entry* mEntry;
  TimePoint mAt;
};

/// One entry's decisions.
struct Entry
{
  std::deque<Asker> mAskers;
  SlotTable mSlots;
  std::vector<TargetHealth> mHealth;
  std::deque<Request> mQueue;
  std::size_t mNext = 0;
  bool mAsking = false;
  TimePoint mAskAfter{};
  TimePoint mUsed{};
  Millis mWay{ 0 }; ///< One way to it from an entry of the region.
};

struct Timed
{
  TimePoint mAt;
  std::uint64_t mOrder;
  std::function<void()> mDo;

  bool operator>(const Timed& aOther) const
  {
    return mAt != aOther.mAt ? mAt > aOther.mAt : mOrder > aOther.mOrder;
  }
};

class Cell
{
public:
  Cell(const Configuration& aConfiguration, const Service& aService,
       const ExperimentCell& aCell)
    : mService(aService)
    , mCell(aCell)
    , mRandom(aCell.mSeed)
    , mRegion(aConfiguration.mRegions.front().mName)
    , mTrue(aService.mTargets.size(), 0)
  {
    AddEntries(aConfiguration, true);
    mCallersOf = mEntries.size();
    // Entries elsewhere have no callers here, but own slots of the region.
    AddEntries(aConfiguration, false);
    for (std::uint32_t n = 0; n < aService.mTargets.size(); ++n) {
      if (aService.mTargets[n].mRegion == mRegion) {
        mTargets.push_back(n);
        mAllSlots += aService.mTargets[n].mSlots;
      }
    }
    mSlowCount = static_cast<std::size_t>(
      std::round(mCell.mSlowTargets * static_cast<double>(mTargets.size())));
  }

  ExperimentResult Run()
  {
    const auto start = mNow;
    mEnd = start + mCell.mTime;
    ScheduleArrival();
    while (!mEvents.empty()) {
      auto event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      event.mDo();
    }
    std::sort(mLatencies.begin(), mLatencies.end());
    mOut.mP50Ms = Quantile(0.5);
    mOut.mP99Ms = Quantile(0.99);
    mOut.mPeakOverSlots =
      static_cast<double>(mPeak) / static_cast<double>(mAllSlots);
    return mOut;
  }

private:
  void AddEntries(const Configuration& aConfiguration, bool aNear)
  {
    for (const auto& it : aConfiguration.mEntries) {
      if ((it.mRegion == mRegion) != aNear) {
        continue;
      }
      Entry entry;
      entry.mSlots =
        MakeSlotTable(AssignSlots(aConfiguration, mService, it.mName), mNow);
      entry.mHealth.resize(mService.mTargets.size());
      entry.mWay = mCell.mPeerWay;
      if (!aNear) {
        entry.mWay = FindLink(aConfiguration, mRegion, it.mRegion)->mDelay;
      }
      mEntries.push_back(std::move(entry));
    }
  }

  double Quantile(double aPart) const
  {
    if (mLatencies.empty()) {
      return 0;
    }
    const auto last = static_cast<double>(mLatencies.size() - 1);
    return mLatencies[static_cast<std::size_t>(aPart * last)];
  }

  void At(TimePoint aTime, std::function<void()> aDo)
  {
    mEvents.push({ aTime, ++mOrder, std::move(aDo) });
  }

  void ScheduleArrival()
  {
    const auto perMs =
      static_cast<double>(mAllSlots) * mCell.mUtilization / mCell.mMeanMs;
    std::exponential_distribution<double> gap(perMs);
    const auto at =
      mNow + Micros(static_cast<std::int64_t>(gap(mRandom) * kMicrosPerMilli));
    if (at >= mEnd) {
      return;
    }
    At(at, [this] {
      Arrive();
      ScheduleArrival();
    });
  }

  void Arrive()
  {
    ++mOut.mCalls;
    std::uniform_real_distribution<double> part(0, 1);
    const auto crowd = part(mRandom) < mCell.mSkew;
    auto& entry = mEntries[crowd ? 0 : mRandom() % mCallersOf];
    const Request request{ mNow, mNow + mCell.mDeadline };
    if (UsesSlots()) {
      Offer(entry, request);
    } else {
      Send(entry, request, ChooseBaseline(entry));
    }
  }

  bool UsesSlots() const
  {
    return mCell.mPolicy == Policy::OwnedAndLoans ||
           mCell.mPolicy == Policy::OwnedOnly ||
           mCell.mPolicy == Policy::Central;
  }

  std::optional<std::uint32_t> ChooseSlot(Entry& aEntry,
                                          const Request& aRequest)
  {
    if (mCell.mPolicy == Policy::Central) {
      for (const auto it : mTargets) {
        if (mTrue[it] < mService.mTargets[it].mSlots) {
          return it;
        }
      }
      return std::nullopt;
    }
    const TargetQuery query{ mService, mRegion, mNow, aRequest.mDeadline, {} };
    const auto target = ChooseTarget(query, aEntry.mSlots, aEntry.mHealth,
                                     [this] { return mRandom(); });
    if (target && TakeSlot(aEntry.mSlots, *target, mNow, aRequest.mDeadline)) {
      return target;
    }
    return std::nullopt;
  }

  void Offer(Entry& aEntry, const Request& aRequest)
  {
    aEntry.mUsed = mNow;
    auto& queue = QueueOf(aEntry);
    if (queue.empty()) {
      if (const auto target = ChooseSlot(aEntry, aRequest)) {
        Start(aEntry, aRequest, *target);
        AskAhead(aEntry);
        return;
      }
    }
    std::uint32_t usable = 0;
    for (const auto it : mTargets) {
      usable += mCell.mPolicy == Policy::Central
                  ? mService.mTargets[it].mSlots
                  : UsableSlots(aEntry.mSlots, it, mNow, mNow);
    }
    const QueueQuery query{ queue.size(), usable,
                            Millis(static_cast<int>(mCell.mMeanMs)),
                            mCell.mDeadline };
    if (!ShouldQueue(query)) {
      ++mOut.mRefused;
      return;
    }
    queue.push_back(aRequest);
    Ask(aEntry);
  }

  std::deque<Request>& QueueOf(Entry& aEntry)
  {
    return mCell.mPolicy == Policy::Central ? mEntries[0].mQueue
                                            : aEntry.mQueue;
  }

  void Serve(Entry& aEntry)
  {
    auto& queue = QueueOf(aEntry);
    while (!queue.empty()) {
      if (queue.front().mDeadline <= mNow) {
        ++mOut.mRefused;
        queue.pop_front();
        continue;
      }
      const auto target = ChooseSlot(aEntry, queue.front());
      if (!target) {
        Ask(aEntry);
        return;
      }
      const auto request = queue.front();
      queue.pop_front();
      Start(aEntry, request, *target);
    }
  }

  bool IsSlow(std::uint32_t aTarget) const
  {
    const auto it = std::find(mTargets.begin(), mTargets.end(), aTarget);
    return static_cast<std::size_t>(it - mTargets.begin()) < mSlowCount;
  }

  Micros ServiceTime(std::uint32_t aTarget)
  {
    std::exponential_distribution<double> spread(1.0);
    auto ms = spread(mRandom) * mCell.mMeanMs;
    ms *= IsSlow(aTarget) ? mCell.mSlowFactor : 1;
    return Micros(static_cast<std::int64_t>(ms * kMicrosPerMilli));
  }

  void Start(Entry& aEntry, const Request& aRequest, std::uint32_t aTarget)
  {
    ++mTrue[aTarget];
    mPeak = std::max(mPeak, ++mInFlight);
    if (mTrue[aTarget] > mService.mTargets[aTarget].mSlots) {
      ++mOut.mSheds;
    }
    const auto time = ServiceTime(aTarget);
    At(mNow + time, [this, &aEntry, aRequest, aTarget, time] {
      --mTrue[aTarget];
      --mInFlight;
      if (mCell.mPolicy != Policy::Central) {
        ReleaseSlot(aEntry.mSlots, aTarget);
      }
      NoteSuccess(aEntry.mHealth[aTarget],
                  std::chrono::duration_cast<Millis>(time), mNow);
      const std::chrono::duration<double, std::milli> latency =
        mNow - aRequest.mArrived;
      if (mNow <= aRequest.mDeadline) {
        ++mOut.mAnswered;
        mLatencies.push_back(latency.count());
      } else {
        ++mOut.mRefused;
      }
      if (UsesSlots()) {
        Serve(aEntry);
        LendToAsker(aEntry);
      }
    });
  }

  std::uint32_t ChooseBaseline(Entry& aEntry)
  {
    const auto any = [&] { return mTargets[mRandom() % mTargets.size()]; };
    const auto used = [&](std::uint32_t a) { return aEntry.mSlots.mInUse[a]; };
    switch (mCell.mPolicy) {
      case Policy::RoundRobin:
        return mTargets[aEntry.mNext++ % mTargets.size()];
      case Policy::TwoChoices: {
        const auto one = any();
        const auto other = any();
        return used(other) < used(one) ? other : one;
      }
      case Policy::LeastInFlight: {
        const auto first = mRandom() % mTargets.size();
        auto best = mTargets[first];
        for (std::size_t n = 1; n < mTargets.size(); ++n) {
          const auto it = mTargets[(first + n) % mTargets.size()];
          best = used(it) < used(best) ? it : best;
        }
        return best;
      }
      default:
        return any();
    }
  }

  /// A baseline sends without knowing; a target without a free slot sheds,
  /// and the request tries another.
  void Send(Entry& aEntry, Request aRequest, std::uint32_t aTarget)
  {
    if (mTrue[aTarget] < mService.mTargets[aTarget].mSlots) {
      ++aEntry.mSlots.mInUse[aTarget];
      Start(aEntry, aRequest, aTarget);
      return;
    }
    ++mOut.mSheds;
    mPeak = std::max(mPeak, mInFlight + 1);
    if (++aRequest.mTries > kMaxTries) {
      ++mOut.mRefused;
      return;
    }
    Send(aEntry, aRequest, ChooseBaseline(aEntry));
  }

  std::uint32_t FreeAt(const Entry& aEntry) const
  {
    std::uint32_t n = 0;
    for (const auto it : mTargets) {
      n += FreeSlots(aEntry.mSlots, it, mNow, mNow);
    }
    return n;
  }

  void AskAhead(Entry& aEntry)
  {
    if (mCell.mPolicy == Policy::OwnedAndLoans && FreeAt(aEntry) == 0) {
      Ask(aEntry);
    }
  }

  void Ask(Entry& aEntry)
  {
    if (mCell.mPolicy != Policy::OwnedAndLoans || aEntry.mAsking ||
        mNow < aEntry.mAskAfter) {
      return;
    }
    aEntry.mAsking = true;
    AskPeer(aEntry, mNow, LendersOf(aEntry), 0);
  }

  /// Entries of the region in turn, then one of the others.
  std::vector<std::size_t> LendersOf(Entry& aEntry)
  {
    std::vector<std::size_t> out;
    const auto far = mEntries.size() - mCallersOf;
    for (std::size_t n = 0; n < mCallersOf; ++n) {
      const auto it = (aEntry.mNext + n) % mCallersOf;
      if (&mEntries[it] != &aEntry) {
        out.push_back(it);
      }
    }
    for (std::size_t n = 0; n < far && out.size() < kLendersPerTry; ++n) {
      out.push_back(mCallersOf + (aEntry.mNext + n) % far);
    }
    ++aEntry.mNext;
    return out;
  }

  /// Carries out a peer's side of a request for loans.
  std::vector<Loan> LendTo(Entry& aEntry, std::size_t aPeer)
  {
    auto& peer = mEntries[aPeer];
    if (!peer.mQueue.empty()) {
      peer.mAskers.push_back({ &aEntry, mNow });
      return {};
    }
    const auto from = std::to_string(aPeer);
    const auto to = std::to_string(&aEntry - mEntries.data());
    const auto back = [&](const Loan& a) { return a.mPeer == to; };
    for (const auto& it : TakeIdleBorrowed(peer.mSlots, mNow, back)) {
      EndLent(aEntry.mSlots, it.mId, from);
    }
    const auto want = std::max<std::size_t>(aEntry.mQueue.size(), 1);
    const bool used = mNow - peer.mUsed < Millis(1'000);
    LendQuery query;
    query.mPeer = to;
    query.mRegion = mRegion;
    query.mWant = static_cast<std::uint32_t>(want);
    query.mKeep = used ? 1U : 0U;
    query.mTerm = kLoanTime;
    query.mExcluded = AvoidedTargets(mService, mRegion, aEntry.mHealth, mNow);
    auto out = Lend(peer.mSlots, mService, query, mNow);
    for (auto& it : out) {
      it.mPeer = from;
    }
    if (out.empty()) {
      peer.mAskers.push_back({ &aEntry, mNow });
      PassOn(peer, aEntry);
    }
    return out;
  }

  /// Lends a slot that has become idle to a peer that asked in vain.
  void LendToAsker(Entry& aEntry)
  {
    std::erase_if(aEntry.mAskers, [this](const Asker& a) {
      return mNow - a.mAt >= kAskerMemory;
    });
    if (mCell.mPolicy != Policy::OwnedAndLoans || aEntry.mAskers.empty() ||
        !aEntry.mQueue.empty()) {
      return;
    }
    auto& asker = *aEntry.mAskers.front().mEntry;
    LendQuery query;
    query.mPeer = std::to_string(&asker - mEntries.data());
    query.mRegion = mRegion;
    query.mWant = 1;
    query.mKeep = mNow - aEntry.mUsed < Millis(1'000) ? 1U : 0U;
    query.mTerm = kLoanTime;
    query.mExcluded = AvoidedTargets(mService, mRegion, asker.mHealth, mNow);
    auto loans = Lend(aEntry.mSlots, mService, query, mNow);
    if (loans.empty()) {
      return;
    }
    aEntry.mAskers.pop_front();
    const auto lent = mNow;
    At(mNow + aEntry.mWay, [this, &aEntry, &asker, loans, lent] {
      for (auto it : loans) {
        it.mPeer = std::to_string(&aEntry - mEntries.data());
        Borrow(asker.mSlots, it, lent, kLoanTime);
      }
      Serve(asker);
    });
  }

  /// Gives an idle borrowed slot back to its owner for an entry that asked.
  void PassOn(Entry& aHolder, Entry& aAsker)
  {
    bool one = false;
    const auto first = [&](const Loan&) { return !std::exchange(one, true); };
    const auto holder = std::to_string(&aHolder - mEntries.data());
    for (const auto& it : TakeIdleBorrowed(aHolder.mSlots, mNow, first)) {
      auto& owner = mEntries[std::stoul(it.mPeer)];
      At(mNow + std::max(aHolder.mWay, owner.mWay),
         [this, &owner, &aAsker, holder, it] {
           EndLent(owner.mSlots, it.mId, holder);
           owner.mAskers.push_front({ &aAsker, mNow });
           LendToAsker(owner);
         });
    }
  }

  void AskPeer(Entry& aEntry, TimePoint aAsked,
               const std::vector<std::size_t>& aPeers, std::size_t aTry)
  {
    const auto peer = aPeers[aTry];
    const auto way = mEntries[peer].mWay;
    At(mNow + way, [this, &aEntry, aAsked, aPeers, aTry, peer, way] {
      const auto loans = LendTo(aEntry, peer);
      At(mNow + way, [this, &aEntry, aAsked, aPeers, aTry, loans] {
        for (const auto& it : loans) {
          Borrow(aEntry.mSlots, it, aAsked, kLoanTime);
        }
        ExpireLoans(aEntry.mSlots, mNow);
        Serve(aEntry);
        if (loans.empty() && aTry + 1 < aPeers.size()) {
          AskPeer(aEntry, mNow, aPeers, aTry + 1);
          return;
        }
        aEntry.mAsking = false;
        aEntry.mAskAfter = mNow + (loans.empty() ? kAskPause : Millis(0));
        if (!aEntry.mQueue.empty()) {
          At(aEntry.mAskAfter, [this, &aEntry] { Serve(aEntry); });
        }
      });
    });
  }

  const Service& mService;
  ExperimentCell mCell;
  std::mt19937_64 mRandom;
  std::string mRegion;
  std::vector<std::uint32_t> mTrue; ///< In flight at each target, by all.
  std::vector<Entry> mEntries;
  std::size_t mCallersOf = 0; ///< Entries that have callers, the first ones.
  std::vector<std::uint32_t> mTargets;
  std::uint32_t mAllSlots = 0;
  std::size_t mSlowCount = 0;
  std::priority_queue<Timed, std::vector<Timed>, std::greater<>> mEvents;
  std::uint64_t mOrder = 0;
  TimePoint mNow{ Seconds(1'000) };
  TimePoint mEnd;
  std::uint32_t mInFlight = 0;
  std::uint32_t mPeak = 0;
  std::vector<double> mLatencies;
  ExperimentResult mOut;
};

} // namespace

ExperimentResult RunCell(const Configuration& aConfiguration,
                         const Service& aService, const ExperimentCell& aCell)
{
  return Cell(aConfiguration, aService, aCell).Run();
}

std::string PolicyName(Policy aPolicy)
{
  return detail::EnumeratorName(boost::describe::enum_to_string(aPolicy, ""));
}

} // namespace guavaline::testing
