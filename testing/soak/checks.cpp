#include "soak/checks.hpp"

#include "history/checker.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>

namespace guavaline::testing {
namespace {

using Lines = std::vector<std::string>;

std::int64_t Micros(Millis aTime)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aTime).count();
}

std::string At(const Event& aEvent)
{
  return aEvent.mIdentity + " via " + aEvent.mPlace + " on " + aEvent.mPeer +
         " at " + std::to_string(aEvent.mMicros) + " us";
}

/// The sending of each request, by identity.
std::map<std::string, const Event*> SentBy(const std::vector<Event>& aEvents)
{
  std::map<std::string, const Event*> out;
  for (const auto& it : aEvents) {
    if (it.mKind == EventKind::CallSent) {
      out[it.mIdentity] = &it;
    }
  }
  return out;
}

/// What must be well for a run to count: its entry, which must not have been
/// restarted either, its target, and the store.
std::vector<std::string> ServedBy(const Event& aRun)
{
  return { aRun.mPlace, StopOf(aRun.mPlace), aRun.mPeer, "store" };
}

/// Runs of requests that no caller sent, or sent otherwise.
Lines CheckAsked(const SoakHistory& aHistory)
{
  Lines out;
  const auto sent = SentBy(aHistory.mEvents);
  for (const auto& it : aHistory.mEvents) {
    if (it.mKind != EventKind::RunStarted) {
      continue;
    }
    const auto by = sent.find(it.mIdentity);
    if (by == sent.end() || by->second->mDigest != it.mDigest ||
        by->second->mClass != it.mClass) {
      out.push_back("unasked: " + At(it));
    }
  }
  return out;
}

/// Requests that run at most once, and ran as several of their attempts.
Lines CheckOnceOverAttempts(const SoakHistory& aHistory)
{
  Lines out;
  std::map<std::string, const Event*> first; // By the request's id.
  for (const auto& it : aHistory.mEvents) {
    if (it.mKind != EventKind::RunStarted || it.mClass != "POST") {
      continue;
    }
    const auto id = it.mIdentity.substr(0, it.mIdentity.rfind('/'));
    const auto [at, isFirst] = first.emplace(id, &it);
    // Twice as the same attempt is CheckAtMostOnce's.
    if (!isFirst && at->second->mIdentity != it.mIdentity) {
      out.push_back("ran twice over its attempts: " + At(*at->second) +
                    " and " + At(it));
    }
  }
  return out;
}

/// New work at targets that had announced that they leave.
Lines CheckDrain(const SoakHistory& aHistory)
{
  Lines out;
  std::map<std::string, std::int64_t> leaving;
  const auto bound = Micros(aHistory.mBounds.mDrain);
  for (const auto& it : aHistory.mEvents) {
    if (it.mKind == EventKind::TargetLeaving) {
      leaving.emplace(it.mPeer, it.mMicros);
    }
    const auto left = leaving.find(it.mPeer);
    if (it.mKind == EventKind::RunStarted && left != leaving.end() &&
        it.mMicros > left->second + bound &&
        IsInTouch(aHistory, ServedBy(it), left->second, it.mMicros)) {
      out.push_back("new work to a leaving target: " + At(it));
    }
  }
  return out;
}

/// Reads that ran at a service that only an older configuration names.
Lines CheckRouting(const SoakHistory& aHistory)
{
  Lines out;
  std::deque<const Event*> accepted; // Newest first.
  const auto sent = SentBy(aHistory.mEvents);
  const auto bound = Micros(aHistory.mBounds.mRouting);
  for (const auto& it : aHistory.mEvents) {
    if (it.mKind == EventKind::ConfigurationAccepted &&
        it.mClass != kSplitMethod) {
      accepted.push_front(&it);
    }
    const auto by = sent.find(it.mIdentity);
    if (it.mKind != EventKind::RunStarted || it.mClass != "GET" ||
        by == sent.end()) {
      continue;
    }
    // The newest one that must be in force, and all after it.
    bool allowed = false;
    std::int64_t since = 0;
    for (const auto* at : accepted) {
      allowed = allowed || at->mService == it.mService;
      since = at->mMicros;
      if (since + bound < by->second->mMicros) {
        break;
      }
    }
    if (!allowed && !accepted.empty() &&
        IsInTouch(aHistory, ServedBy(it), since, it.mMicros)) {
      out.push_back("old configuration: " + At(it));
    }
  }
  return out;
}

/// A run of a request on the split route.
struct SplitRun
{
  std::int64_t mSent = 0;
  std::int64_t mStarted = 0;
  bool mFirst = false; ///< At the service whose weight the history has.
};

/// A time in which the weights of the split route do not change.
struct SplitPeriod
{
  std::int64_t mFrom = 0; ///< When they must be in force.
  std::int64_t mTo = 0;
  double mWeight = 0; ///< Of the first service, 0 to 1.
  std::vector<SplitRun> mRuns;
};

std::vector<SplitPeriod> FindSplitPeriods(const SoakHistory& aHistory)
{
  constexpr double kPercent = 100;
  const auto sent = SentBy(aHistory.mEvents);
  std::string service;
  std::vector<SplitPeriod> out;
  for (const auto& it : aHistory.mEvents) {
    if (it.mClass != kSplitMethod) {
      continue;
    }
    if (it.mKind == EventKind::ConfigurationAccepted) {
      service = it.mService;
      if (!out.empty()) {
        out.back().mTo = it.mMicros;
      }
      out.push_back({ it.mMicros + Micros(aHistory.mBounds.mRouting),
                      std::numeric_limits<std::int64_t>::max(),
                      static_cast<double>(it.mWeight) / kPercent,
                      {} });
    }
    const auto by = sent.find(it.mIdentity);
    if (it.mKind == EventKind::RunStarted && by != sent.end() && !out.empty()) {
      out.back().mRuns.push_back(
        { by->second->mMicros, it.mMicros, it.mService == service });
    }
  }
  for (auto& it : out) {
    std::erase_if(it.mRuns, [&](const SplitRun& a) {
      return a.mSent < it.mFrom || a.mStarted >= it.mTo;
    });
  }
  return out;
}

/// Shares of the split route that are off its weights in calm.
Lines CheckWeights(const SoakHistory& aHistory)
{
  Lines out;
  const auto n = static_cast<std::ptrdiff_t>(aHistory.mBounds.mSplitRequests);
  for (const auto& period : FindSplitPeriods(aHistory)) {
    const auto& runs = period.mRuns;
    for (auto it = runs.begin(); runs.end() - it >= n; ++it) {
      const auto first =
        std::count_if(it, it + n, [](const SplitRun& a) { return a.mFirst; });
      const auto share = static_cast<double>(first) / static_cast<double>(n);
      const auto from = it->mSent - Micros(aHistory.mBounds.mInTouch);
      if (std::abs(share - period.mWeight) > aHistory.mBounds.mMaxOffWeight &&
          IsCalm(aHistory, from, (it + n - 1)->mStarted)) {
        out.push_back("weights are not kept: " + std::to_string(first) +
                      " of " + std::to_string(n) + " requests, weight " +
                      std::to_string(period.mWeight) + ", from " +
                      std::to_string(it->mSent) + " us");
        break;
      }
    }
  }
  return out;
}

/// A rate limit that a target names, and the runs that count towards it.
struct NamedLimit
{
  std::int64_t mSince = 0;
  double mPerSecond = 0;
  std::map<std::string, std::int64_t> mKnownSince; ///< By entry.
  std::deque<std::int64_t> mRuns;                  ///< In the last window.
  bool mBroken = false;
};

/// Counts a run of an entry that knows of the limit.
void CountLimitedRun(const SoakHistory& aHistory, const Event& aRun,
                     NamedLimit& aLimit)
{
  const auto& bounds = aHistory.mBounds;
  const auto known = aLimit.mKnownSince.find(aRun.mPlace);
  if (aRun.mMicros < aLimit.mSince + Micros(bounds.mLimitBinds) ||
      known == aLimit.mKnownSince.end() ||
      aRun.mMicros < known->second + Micros(bounds.mLimitKnown) ||
      !IsInTouch(aHistory, { aRun.mPlace, StopOf(aRun.mPlace), aRun.mPeer },
                 aLimit.mSince, aRun.mMicros)) {
    return;
  }
  auto& runs = aLimit.mRuns;
  runs.push_back(aRun.mMicros);
  while (runs.front() < aRun.mMicros - Micros(bounds.mLimitWindow)) {
    runs.pop_front();
  }
}

/// Targets that got more requests than the rate limits that they named.
Lines CheckLimits(const SoakHistory& aHistory)
{
  Lines out;
  const auto& bounds = aHistory.mBounds;
  const std::chrono::duration<double> window = bounds.mLimitWindow;
  std::map<std::string, NamedLimit> limits; // By target.
  for (const auto& it : aHistory.mEvents) {
    if (it.mKind == EventKind::TargetLimited) {
      limits.erase(it.mPeer);
      if (it.mPerSecond > 0) {
        limits[it.mPeer] = { it.mMicros, it.mPerSecond, {}, {}, false };
      }
    }
    const auto found = limits.find(it.mPeer);
    if (found == limits.end()) {
      continue;
    }
    auto& limit = found->second;
    if (it.mKind == EventKind::RunEnded) {
      limit.mKnownSince.emplace(it.mPlace, it.mMicros);
    } else if (it.mKind == EventKind::RunStarted) {
      CountLimitedRun(aHistory, it, limit);
    }
    const double most = limit.mPerSecond * window.count() * bounds.mLimitOver +
                        bounds.mLimitSlack;
    if (!limit.mBroken && static_cast<double>(limit.mRuns.size()) > most) {
      limit.mBroken = true;
      out.push_back("limit exceeded: " + std::to_string(limit.mRuns.size()) +
                    " runs where " + std::to_string(most) +
                    " are allowed: " + At(it));
    }
  }
  return out;
}

/// Requests that crash targets and are sent on.
Lines CheckCrashers(const SoakHistory& aHistory)
{
  const auto& bounds = aHistory.mBounds;
  std::vector<const Event*> runs;
  for (const auto& it : aHistory.mEvents) {
    if (it.mKind == EventKind::RunStarted &&
        it.mIdentity.starts_with(kCrasherName)) {
      runs.push_back(&it);
    }
  }
  if (runs.size() < 3) {
    return {};
  }
  const auto from = runs[2]->mMicros + Micros(bounds.mInTouch);
  std::vector<const Event*> late;
  std::copy_if(runs.begin(), runs.end(), std::back_inserter(late),
               [&](const Event* a) {
                 return a->mMicros > from &&
                        IsInTouch(aHistory, { a->mPlace, StopOf(a->mPlace) },
                                  a->mMicros, a->mMicros);
               });
  if (late.size() <= bounds.mCrashersLate) {
    return {};
  }
  return { "a request that crashes targets is sent on: " +
           std::to_string(late.size()) + " of " + std::to_string(runs.size()) +
           " runs are late: " + At(*late.back()) };
}

/// Requests that a planned stop cut although a target was at work on them.
Lines CheckStops(const SoakHistory& aHistory)
{
  Lines out;
  const auto sent = SentBy(aHistory.mEvents);
  std::map<std::string, const Event*> runs;
  std::map<std::string, std::int64_t> stops;
  for (const auto& it : aHistory.mEvents) {
    if (it.mKind == EventKind::RunStarted) {
      runs[it.mIdentity] = &it;
    } else if (it.mKind == EventKind::StopPlanned) {
      stops[it.mPeer] = it.mMicros;
    }
    const auto run = runs.find(it.mIdentity);
    const auto by = sent.find(it.mIdentity);
    const auto stop = stops.find(it.mPlace);
    if (it.mKind != EventKind::CallFailed || run == runs.end() ||
        by == sent.end() || stop == stops.end() || stop->second > it.mMicros ||
        it.mOutcome.starts_with("timeout")) {
      continue;
    }
    if (IsInTouch(aHistory, { it.mPlace, run->second->mPeer },
                  by->second->mMicros, it.mMicros)) {
      out.push_back("cut by a planned stop: " + At(*run->second) + ": " +
                    it.mOutcome);
    }
  }
  return out;
}

/// Service after everything was well again for the time to recover.
Lines CheckRecovery(const SoakHistory& aHistory)
{
  const auto from = aHistory.mCalmFrom + Micros(aHistory.mBounds.mRecover);
  std::map<std::string, bool> served;
  for (const auto& it : aHistory.mEvents) {
    if (it.mKind == EventKind::CallSent && it.mMicros >= from) {
      served[it.mIdentity] = false;
    } else if (it.mKind == EventKind::CallAnswered && it.mRan == "yes" &&
               served.count(it.mIdentity) > 0) {
      served[it.mIdentity] = true;
    }
  }
  const auto n = static_cast<double>(std::count_if(
    served.begin(), served.end(), [](const auto& a) { return a.second; }));
  const auto all = static_cast<double>(served.size());
  if (all == 0 || n < all * aHistory.mBounds.mServedAfterwards) {
    return { "no recovery: " + std::to_string(n) + " of " +
             std::to_string(all) + " served" };
  }
  return {};
}

} // namespace

std::string StopOf(const std::string& aEntry)
{
  return aEntry + "/stop";
}

bool IsInTouch(const SoakHistory& aHistory,
               const std::vector<std::string>& aNames, std::int64_t aFrom,
               std::int64_t aTo)
{
  const auto from = aFrom - Micros(aHistory.mBounds.mInTouch);
  return std::none_of(
    aHistory.mImpairments.begin(), aHistory.mImpairments.end(),
    [&](const Impairment& a) {
      const bool named =
        a.mWhat == "all" ||
        std::find(aNames.begin(), aNames.end(), a.mWhat) != aNames.end();
      return named && a.mFrom <= aTo && (a.mTo == 0 || a.mTo >= from);
    });
}

bool IsCalm(const SoakHistory& aHistory, std::int64_t aFrom, std::int64_t aTo)
{
  return std::none_of(aHistory.mImpairments.begin(),
                      aHistory.mImpairments.end(), [&](const Impairment& a) {
                        return a.mFrom <= aTo && (a.mTo == 0 || a.mTo >= aFrom);
                      });
}

Lines CheckSoak(const SoakHistory& aHistory)
{
  Lines out;
  for (const auto& lines :
       { CheckAtMostOnce(aHistory.mEvents), CheckTruth(aHistory.mEvents),
         CheckOwnAnswers(aHistory.mEvents), CheckOnceOverAttempts(aHistory),
         CheckAsked(aHistory), CheckDrain(aHistory), CheckRouting(aHistory),
         CheckWeights(aHistory), CheckLimits(aHistory), CheckStops(aHistory),
         CheckCrashers(aHistory), CheckRecovery(aHistory) }) {
    out.insert(out.end(), lines.begin(), lines.end());
  }
  return out;
}

} // namespace guavaline::testing
