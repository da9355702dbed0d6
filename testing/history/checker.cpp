#include "history/checker.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace guavaline::testing {
namespace {

constexpr const char* kOnceMethod = "POST";
/// A last window counts once all but one part in this many of it is covered.
constexpr std::int64_t kCoveredPart = 10;

std::string At(const Event& aEvent)
{
  return " at " + std::to_string(aEvent.mMicros) + " us";
}

void Append(std::vector<std::string>& aOut, std::vector<std::string> aMore)
{
  aOut.insert(aOut.end(), std::make_move_iterator(aMore.begin()),
              std::make_move_iterator(aMore.end()));
}

} // namespace

void SortEvents(std::vector<Event>& aEvents)
{
  std::stable_sort(
    aEvents.begin(), aEvents.end(),
    [](const Event& a, const Event& b) { return a.mMicros < b.mMicros; });
}

std::vector<std::string> CheckAtMostOnce(const std::vector<Event>& aEvents)
{
  std::vector<std::string> out;
  std::map<std::string, std::string> ran;
  for (const auto& it : aEvents) {
    if (it.mKind != EventKind::RunStarted || it.mClass != kOnceMethod) {
      continue;
    }
    const auto [at, first] = ran.emplace(it.mIdentity, it.mPeer);
    if (!first) {
      out.push_back("ran twice: " + it.mIdentity + " on " + at->second +
                    " and " + it.mPeer + At(it));
    }
  }
  return out;
}

namespace {

/// Runs of one identity.
using Runs = std::map<std::string, std::vector<const Event*>>;

/// A refused attempt of a request that may be repeated must never run itself;
/// an earlier attempt whose answer was "unknown" may.
bool RanAsAttempt(const std::vector<const Event*>& aRuns, const Event& aRefusal)
{
  return std::any_of(aRuns.begin(), aRuns.end(), [&](const Event* a) {
    return a->mAttempt == aRefusal.mAttempt;
  });
}

/// A request that runs at most once must not have run from the sending of an
/// attempt until its refusal, by whatever attempt.
bool RanBetween(const std::vector<const Event*>& aRuns, std::int64_t aSent,
                std::int64_t aRefused)
{
  return std::any_of(aRuns.begin(), aRuns.end(), [&](const Event* a) {
    return a->mMicros >= aSent && a->mMicros <= aRefused;
  });
}

} // namespace

std::vector<std::string> CheckTruth(const std::vector<Event>& aEvents)
{
  std::vector<std::string> out;
  Runs runs;
  for (const auto& it : aEvents) {
    if (it.mKind == EventKind::RunStarted) {
      runs[it.mIdentity].push_back(&it);
    }
  }
  std::map<std::string, std::int64_t> sent;
  for (const auto& it : aEvents) {
    const auto& own = runs[it.mIdentity];
    if (it.mKind == EventKind::CallSent) {
      sent[it.mIdentity] = it.mMicros;
    } else if (it.mKind == EventKind::CallAnswered && it.mRan == "no" &&
               !own.empty()) {
      const bool once = own.front()->mClass == kOnceMethod;
      if (once ? RanBetween(own, sent[it.mIdentity], it.mMicros)
               : RanAsAttempt(own, it)) {
        out.push_back("said not run: " + it.mIdentity + " by " + it.mPeer +
                      At(it));
      }
    } else if (it.mKind == EventKind::CallEnded && it.mOutcome == "not_run" &&
               !own.empty()) {
      // There must be no run at all, before or after.
      out.push_back("ended as not run: " + it.mIdentity + At(it));
    }
  }
  return out;
}

std::vector<std::string> CheckOwnAnswers(const std::vector<Event>& aEvents)
{
  std::vector<std::string> out;
  std::map<std::string, std::string> sent;
  for (const auto& it : aEvents) {
    if (it.mKind == EventKind::CallSent) {
      sent[it.mIdentity] = it.mDigest;
    } else if (it.mKind == EventKind::CallAnswered && it.mRan == "yes" &&
               it.mStatus == 200 && it.mDigest != sent[it.mIdentity]) {
      out.push_back("answer of another request: " + it.mIdentity + At(it));
    }
  }
  return out;
}

std::vector<std::string> CheckCapacity(const std::vector<Event>& aEvents,
                                       const Configuration& aConfiguration)
{
  std::vector<std::string> out;
  std::map<std::string, std::int64_t> inFlight;
  for (const auto& it : aEvents) {
    const auto key = it.mService + "/" + it.mRegion;
    if (it.mKind == EventKind::RunEnded ||
        it.mKind == EventKind::RunCancelled) {
      --inFlight[key];
    } else if (it.mKind == EventKind::TargetShed) {
      out.push_back("more than its slots sent to " + it.mPeer + At(it));
    } else if (it.mKind == EventKind::RunStarted) {
      const auto n = ++inFlight[key];
      const auto* service = FindService(aConfiguration, it.mService);
      if (service != nullptr && n > RegionSlots(*service, it.mRegion)) {
        out.push_back("region over its slots: " + key + At(it));
      }
      if (it.mInFlight > it.mSlots) {
        out.push_back("target over its slots: " + it.mPeer + At(it));
      }
    }
  }
  return out;
}

std::vector<std::string> CheckLeaving(const std::vector<Event>& aEvents,
                                      Millis aGrace)
{
  std::vector<std::string> out;
  const auto grace =
    std::chrono::duration_cast<std::chrono::microseconds>(aGrace).count();
  std::map<std::string, std::int64_t> leaving;
  for (const auto& it : aEvents) {
    if (it.mKind == EventKind::TargetLeaving) {
      leaving.emplace(it.mPeer, it.mMicros);
    } else if (it.mKind == EventKind::RunStarted) {
      const auto at = leaving.find(it.mPeer);
      if (at != leaving.end() && it.mMicros > at->second + grace) {
        out.push_back("new work to leaving " + it.mPeer + At(it));
      }
    }
  }
  return out;
}

std::vector<std::string> CheckShift(const std::vector<Event>& aEvents,
                                    const CheckOptions& aOptions)
{
  std::vector<std::string> out;
  const auto window =
    std::chrono::duration_cast<std::chrono::microseconds>(aOptions.mShiftWindow)
      .count();
  if (window == 0) {
    return out;
  }
  for (const auto& service : aOptions.mConfiguration.mServices) {
    std::map<std::int64_t, std::map<std::string, double>> windows;
    std::int64_t first = 0;
    std::int64_t last = 0;
    for (const auto& it : aEvents) {
      if (it.mKind != EventKind::RunStarted || it.mService != service.mName) {
        continue;
      }
      first = first == 0 ? it.mMicros : first;
      last = it.mMicros - first;
      windows[(it.mMicros - first) / window][it.mRegion] += 1;
    }
    // Where the load ends within the last window, or only late runs fall into
    // it, it has no share that could be compared.
    if (last % window < window / kCoveredPart * (kCoveredPart - 1)) {
      windows.erase(last / window);
    }
    const auto cap = service.mShiftCapPercent / 100.0 *
                       (static_cast<double>(aOptions.mShiftWindow.count()) /
                        static_cast<double>(service.mShiftCapWindow.count())) +
                     aOptions.mShiftNoise;
    std::map<std::string, double> before;
    for (auto& [index, counts] : windows) {
      double all = 0;
      for (const auto& [region, n] : counts) {
        all += n;
      }
      double moved = 0;
      std::map<std::string, double> shares;
      for (const auto& region : aOptions.mConfiguration.mRegions) {
        shares[region.mName] = counts[region.mName] / all;
        moved += std::max(0.0, shares[region.mName] - before[region.mName]);
      }
      if (!before.empty() && index > 0 && moved > cap) {
        bool known = false;
        for (const auto& [region, share] : before) {
          known = known || share > 0;
        }
        if (known) {
          out.push_back("shift of " + service.mName + " by " +
                        std::to_string(moved) + " over " + std::to_string(cap) +
                        " in window " + std::to_string(index) + " with " +
                        std::to_string(static_cast<int>(all)) + " runs");
        }
      }
      before = shares;
    }
  }
  return out;
}

std::vector<std::string> CheckVersions(const std::vector<Event>& aEvents)
{
  std::vector<std::string> out;
  std::map<std::string, std::int64_t> seen;
  for (const auto& it : aEvents) {
    if (it.mKind != EventKind::ConfigurationSeen) {
      continue;
    }
    auto& last = seen[it.mPeer];
    if (it.mVersion < last) {
      out.push_back("version went back on " + it.mPeer + At(it));
    }
    last = std::max(last, it.mVersion);
  }
  return out;
}

std::vector<std::string> CheckHistory(const std::vector<Event>& aEvents,
                                      const CheckOptions& aOptions)
{
  auto out = CheckAtMostOnce(aEvents);
  Append(out, CheckTruth(aEvents));
  Append(out, CheckOwnAnswers(aEvents));
  Append(out, CheckCapacity(aEvents, aOptions.mConfiguration));
  Append(out, CheckLeaving(aEvents, aOptions.mLeavingGrace));
  Append(out, CheckShift(aEvents, aOptions));
  Append(out, CheckVersions(aEvents));
  return out;
}

} // namespace guavaline::testing
