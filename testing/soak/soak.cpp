#include "soak/soak.hpp"

#include "history/checker.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <optional>
#include <set>
#include <thread>

namespace guavaline::testing {
namespace {

constexpr Millis kReadyWait{ 3'000 };
constexpr Millis kTick{ 10 };
constexpr Millis kMinGap{ 200 };
constexpr Millis kMaxGap{ 1'200 };
constexpr Millis kMinTime{ 200 };
constexpr Millis kMaxTime{ 5'000 };
/// Targets that name a rate limit, which is a small part of what they get.
constexpr std::size_t kLimits = 3;
constexpr double kLimitPerSecond = 0.25;
/// A limit binds some seconds after it is named.
constexpr Millis kMinLimitTime{ 9'000 };
constexpr Millis kMaxLimitTime{ 13'000 };
/// From the store's return until registrations of ended targets are gone.
constexpr Millis kLapseTime{ 4'500 };
/// From SIGTERM until the platform would kill the process.
constexpr Millis kGrace{ 6'000 };
/// Impairments at once, besides the limits.
constexpr std::size_t kMaxAtOnce = 5;

/// An impairment that has begun.
struct Open
{
  TimePoint mEnds;
  std::size_t mEntry = 0; ///< Entry that must not be harmed otherwise.
  bool mHoldsEntry = false;
  std::size_t mRecord = 0; ///< Index into the impairments.
  std::function<void()> mEnd;
};

/// How far the store is on its way back from a copy.
struct RestoreSteps
{
  std::optional<TimePoint> mReturns;
  std::optional<TimePoint> mLapses; ///< When ended targets are gone again.
  std::size_t mRecord = 0;          ///< Index into the impairments.
};

class Soak
{
public:
  explicit Soak(const SoakOptions& aOptions)
    : mOptions(aOptions)
    , mWorld(aOptions.mWorld)
    , mRandom(aOptions.mWorld.mSeed)
    , mRestoreRandom(aOptions.mWorld.mSeed + 1)
  {
  }

  SoakVerdict Play()
  {
    SoakVerdict out;
    out.mProblem = mWorld.Start();
    if (!out.mProblem.empty()) {
      return out;
    }
    std::this_thread::sleep_for(kReadyWait);
    SoakCallersOptions callers;
    callers.mEntries = mWorld.Entries();
    callers.mCallers = mOptions.mCallers;
    callers.mPerSecond = mOptions.mPerSecond;
    callers.mSeed = mOptions.mWorld.mSeed;
    callers.mEnd = Clock::now() + mOptions.mTrouble + kGrace + mOptions.mCalm;
    std::thread load([&] { RunSoakCallers(callers, mWorld.Events()); });
    Trouble(Clock::now() + mOptions.mTrouble);
    mHistory.mCalmFrom = NowMicros();
    // The weights change once more, and are looked at in calm.
    Change();
    load.join();
    mWorld.Stop();
    Judge(out);
    return out;
  }

private:
  std::size_t Pick(std::size_t aCount) { return mRandom() % aCount; }

  Millis Between(Millis aLeast, Millis aMost)
  {
    return aLeast + Millis(static_cast<std::int64_t>(Pick(
                      static_cast<std::size_t>((aMost - aLeast).count()))));
  }

  void Trouble(TimePoint aEnd)
  {
    auto next = Clock::now();
    mWorld.CopyRefusals(true);
    for (std::size_t n = 0; n < kLimits; ++n) {
      Limit();
    }
    while (Clock::now() < aEnd || !mOpen.empty() || mRestore.mLapses) {
      EndDue(Clock::now());
      StepRestore(aEnd, Clock::now());
      if (Clock::now() >= next && Clock::now() < aEnd &&
          mOpen.size() < kMaxAtOnce + kLimits) {
        Begin();
        next = Clock::now() + Between(kMinGap, kMaxGap);
      }
      std::this_thread::sleep_for(kTick);
    }
    mWorld.CopyRefusals(false);
  }

  /// The store comes back from a copy that is some seconds old, again and
  /// again. The draws of other impairments do not depend on it.
  void StepRestore(TimePoint aEnd, TimePoint aNow)
  {
    std::uniform_int_distribution<Millis::rep> wait(kMinTime.count(),
                                                    kMaxTime.count());
    auto& step = mRestore;
    if (!step.mReturns && !step.mLapses && aNow < aEnd) {
      mWorld.KeepStoreCopy();
      step.mReturns = aNow + Millis(wait(mRestoreRandom));
    } else if (step.mReturns && aNow >= *step.mReturns && aNow < aEnd) {
      step.mReturns.reset();
      step.mLapses = aNow + kLapseTime;
      step.mRecord = mHistory.mImpairments.size();
      mHistory.mImpairments.push_back({ "store", NowMicros(), 0 });
      std::printf("%9ld us store: restored\n", NowMicros());
      mWorld.RestoreStore();
    } else if (step.mLapses && aNow >= *step.mLapses) {
      step.mLapses.reset();
      mWorld.LapseTargets();
      mHistory.mImpairments[step.mRecord].mTo = NowMicros();
    }
  }

  void EndDue(TimePoint aNow)
  {
    for (std::size_t n = 0; n < mOpen.size();) {
      if (mOpen[n].mEnds > aNow) {
        ++n;
        continue;
      }
      const auto open = std::move(mOpen[n]);
      mOpen.erase(mOpen.begin() + static_cast<std::ptrdiff_t>(n));
      open.mEnd();
      mHistory.mImpairments[open.mRecord].mTo = NowMicros();
    }
  }

  /// Records an impairment that lasts until its end is run.
  void Add(const std::string& aWhat, const char* aHow, Millis aFor,
           std::function<void()> aEnd, std::optional<std::size_t> aEntry = {})
  {
    const auto now = NowMicros();
    mHistory.mImpairments.push_back({ aWhat, now, 0 });
    std::printf("%9ld us %s: %s for %ld ms\n", now, aWhat.c_str(), aHow,
                aFor.count());
    mOpen.push_back({ Clock::now() + aFor, aEntry.value_or(0),
                      aEntry.has_value(), mHistory.mImpairments.size() - 1,
                      std::move(aEnd) });
  }

  /// An entry whose process nothing holds at present, so that at least one
  /// goes on beside it.
  std::optional<std::size_t> FreeEntry()
  {
    std::vector<std::size_t> free;
    for (std::size_t n = 0; n < mWorld.Entries().size(); ++n) {
      const bool held =
        std::any_of(mOpen.begin(), mOpen.end(), [n](const Open& a) {
          return a.mHoldsEntry && a.mEntry == n;
        });
      if (!held) {
        free.push_back(n);
      }
    }
    if (free.size() < 2) {
      return std::nullopt;
    }
    return free[Pick(free.size())];
  }

  void Begin()
  {
    using Action = void (Soak::*)();
    constexpr Action kActions[] = {
      &Soak::Kill,        &Soak::Freeze,       &Soak::StopPlanned,
      &Soak::StopPlanned, &Soak::Hangup,       &Soak::StoreOut,
      &Soak::StoreSlow,   &Soak::StoreForgets, &Soak::HarmStorePath,
      &Soak::HarmCallers, &Soak::HarmTarget,   &Soak::HarmTarget,
      &Soak::Crash,       &Soak::Drain,        &Soak::Slow,
      &Soak::Change,      &Soak::Evacuate,
    };
    (this->*kActions[Pick(std::size(kActions))])();
  }

  void Kill()
  {
    const auto entry = FreeEntry();
    if (!entry) {
      return;
    }
    mWorld.Signal(*entry, SIGKILL);
    Add(
      mWorld.Entries()[*entry].mName, "killed",
      Between(kMinTime, Millis(2'000)),
      [this, n = *entry] {
        (void)mWorld.AwaitEnd(n, kGrace);
        mWorld.StartEntry(n);
      },
      entry);
  }

  void Freeze()
  {
    const auto entry = FreeEntry();
    if (!entry) {
      return;
    }
    mWorld.Signal(*entry, SIGSTOP);
    Add(
      mWorld.Entries()[*entry].mName, "paused", Between(kMinTime, kMaxTime),
      [this, n = *entry] { mWorld.Signal(n, SIGCONT); }, entry);
  }

  void StopPlanned()
  {
    const auto entry = FreeEntry();
    if (!entry) {
      return;
    }
    Event event;
    event.mKind = EventKind::StopPlanned;
    event.mPlace = mWorld.Entries()[*entry].mName;
    event.mPeer = event.mPlace;
    mWorld.Events().Add(event);
    mWorld.Signal(*entry, SIGTERM);
    Add(
      StopOf(event.mPlace), "stopped", kGrace,
      [this, n = *entry] {
        if (!mWorld.AwaitEnd(n, Millis(0))) {
          mLate.push_back("does not end in time after SIGTERM: " +
                          mWorld.Entries()[n].mName);
          mWorld.Signal(n, SIGKILL);
          (void)mWorld.AwaitEnd(n, kGrace);
        }
        mWorld.StartEntry(n);
      },
      entry);
  }

  void Hangup()
  {
    if (const auto entry = FreeEntry()) {
      mWorld.Signal(*entry, SIGHUP);
    }
  }

  void StoreOut()
  {
    PlatformStoreFaults faults;
    (Pick(2) == 0 ? faults.mBusy : faults.mSilent) = true;
    mWorld.SetStore(faults);
    Add("store", "out", Between(kMinTime, kMaxTime),
        [this] { mWorld.SetStore({}); });
  }

  void StoreSlow()
  {
    PlatformStoreFaults faults;
    faults.mDelay = Between(Millis(50), Millis(600));
    faults.mLoseWrites = 0.3;
    mWorld.SetStore(faults);
    Add("store", "slow, loses answers", Between(kMinTime, kMaxTime),
        [this] { mWorld.SetStore({}); });
  }

  void StoreForgets()
  {
    mWorld.DropHistory();
    Add("store", "forgets its history", Millis(0), [] {});
  }

  /// Harms one path through a proxy.
  void HarmPath(
    const std::string& aWhat,
    const std::function<void(const std::function<void(SoakProxy&)>&)>& aOn)
  {
    ProxyFaults faults;
    const auto time = Between(kMinTime, kMaxTime);
    const auto heal = [aOn] { aOn([](SoakProxy& a) { a.SetFaults({}); }); };
    switch (Pick(5)) {
      case 0:
        aOn([](SoakProxy& a) { a.ResetAll(); });
        return Add(aWhat, "connections reset", Millis(0), [] {});
      case 1:
        aOn([](SoakProxy& a) { a.SilenceAll(); });
        return Add(aWhat, "connections go silent", Millis(0), [] {});
      case 2:
        faults.mDelay = Between(Millis(20), Millis(300));
        aOn([&](SoakProxy& a) { a.SetFaults(faults); });
        return Add(aWhat, "delayed", time, heal);
      case 3:
        (Pick(2) == 0 ? faults.mDropToServer : faults.mDropToCaller) = true;
        aOn([&](SoakProxy& a) { a.SetFaults(faults); });
        return Add(aWhat, "cut one way", time, heal);
      default:
        faults.mRefuse = true;
        aOn([&](SoakProxy& a) {
          a.SetFaults(faults);
          a.ResetAll();
        });
        return Add(aWhat, "cut off", time, heal);
    }
  }

  void HarmStorePath()
  {
    const auto n = Pick(mWorld.Entries().size());
    HarmPath(mWorld.Entries()[n].mName,
             [this, n](const std::function<void(SoakProxy&)>& aDo) {
               mWorld.OnStorePath(n, aDo);
             });
  }

  void HarmCallers()
  {
    const auto n = Pick(mWorld.Entries().size());
    HarmPath(mWorld.Entries()[n].mName,
             [this, n](const std::function<void(SoakProxy&)>& aDo) {
               mWorld.OnCallerPath(n, aDo);
             });
  }

  void HarmTarget()
  {
    const auto n = Pick(mWorld.TargetCount());
    HarmPath(mWorld.TargetId(n),
             [this, n](const std::function<void(SoakProxy&)>& aDo) {
               mWorld.OnTargetPath(n, aDo);
             });
  }

  /// A target that leaves or crashed may not be chosen again meanwhile.
  std::optional<std::size_t> FreeTarget()
  {
    const auto n = Pick(mWorld.TargetCount());
    if (!mBusyTargets.insert(n).second) {
      return std::nullopt;
    }
    return n;
  }

  void Replace(std::size_t aTarget)
  {
    mWorld.ReplaceTarget(aTarget);
    mBusyTargets.erase(aTarget);
  }

  void Crash()
  {
    if (const auto n = FreeTarget()) {
      mWorld.CrashTarget(*n);
      Add(mWorld.TargetId(*n), "crashed", Between(kMinTime, kMaxTime),
          [this, target = *n] { Replace(target); });
    }
  }

  void Drain()
  {
    if (const auto n = FreeTarget()) {
      mWorld.DrainTarget(*n);
      // Planned work harms nothing: the record names nobody.
      Add("drain", mWorld.TargetId(*n).c_str(), Millis(4'500),
          [this, target = *n] {
            mWorld.CrashTarget(target);
            Replace(target);
          });
    }
  }

  void Slow()
  {
    if (const auto n = FreeTarget()) {
      mWorld.SlowTarget(*n, 20);
      Add(mWorld.TargetId(*n), "slow", Between(kMinTime, kMaxTime),
          [this, target = *n] {
            mWorld.SlowTarget(target, 1);
            mBusyTargets.erase(target);
          });
    }
  }

  void Limit()
  {
    if (const auto n = FreeTarget()) {
      mWorld.LimitTarget(*n, kLimitPerSecond);
      // A limit harms nothing: the record names nobody.
      Add("limit", mWorld.TargetId(*n).c_str(),
          Between(kMinLimitTime, kMaxLimitTime), [this, target = *n] {
            mWorld.LimitTarget(target, 0);
            mBusyTargets.erase(target);
          });
    }
  }

  void Change() { mWorld.ChangeRouting(); }

  void Evacuate()
  {
    const auto zone = mWorld.ZoneOf(Pick(mWorld.Entries().size()));
    mWorld.Evacuate(zone, true);
    Add("evacuation", zone.c_str(), Between(Millis(2'000), kMaxTime),
        [this, zone] { mWorld.Evacuate(zone, false); });
  }

  void Judge(SoakVerdict& aOut)
  {
    mHistory.mEvents = mWorld.Events().Copy();
    const auto& crashed = mWorld.CrashedByRequests();
    std::printf("targets crashed by requests: %zu\n", crashed.size());
    const auto copies = mWorld.Copies();
    std::printf("copies: %zu met, %zu others\n", copies.mMet, copies.mOthers);
    mHistory.mImpairments.insert(mHistory.mImpairments.end(), crashed.begin(),
                                 crashed.end());
    SortEvents(mHistory.mEvents);
    aOut.mBroken = CheckSoak(mHistory);
    aOut.mBroken.insert(aOut.mBroken.end(), mLate.begin(), mLate.end());
    aOut.mImpairments = mHistory.mImpairments.size() - crashed.size();
    for (const auto& it : mHistory.mEvents) {
      aOut.mSent += it.mKind == EventKind::CallSent ? 1U : 0U;
      const bool answered = it.mKind == EventKind::CallAnswered;
      aOut.mServed += answered && it.mRan == "yes" ? 1U : 0U;
      aOut.mRefused += answered && it.mRan == "no" ? 1U : 0U;
    }
    aOut.mOther = aOut.mSent - aOut.mServed - aOut.mRefused;
    if (!mOptions.mHistoryPath.empty() &&
        !mWorld.Events().Save(mOptions.mHistoryPath)) {
      aOut.mProblem = "cannot write " + mOptions.mHistoryPath;
    }
  }

  SoakOptions mOptions;
  World mWorld;
  std::mt19937_64 mRandom;
  std::mt19937_64 mRestoreRandom;
  RestoreSteps mRestore;
  SoakHistory mHistory;
  std::vector<Open> mOpen;
  std::set<std::size_t> mBusyTargets;
  std::vector<std::string> mLate;
};

} // namespace

SoakVerdict PlaySoak(const SoakOptions& aOptions)
{
  Soak soak(aOptions);
  return soak.Play();
}

} // namespace guavaline::testing
