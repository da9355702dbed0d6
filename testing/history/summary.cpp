#include "history/summary.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>

namespace guavaline::testing {
namespace {

constexpr double kMicrosPerMilli = 1000;

double QuantileMs(const std::vector<std::int64_t>& aSorted, double aPart)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aSorted.size() - 1);
  const auto at = static_cast<std::size_t>(std::ceil(aPart * last));
  return static_cast<double>(aSorted[at]) / kMicrosPerMilli;
}

void SummarizeCalls(const std::vector<Event>& aEvents, Summary& aOut)
{
  std::map<std::string, std::vector<std::int64_t>> latencies;
  for (const auto& it : aEvents) {
    if (it.mKind != EventKind::CallEnded) {
      continue;
    }
    const auto key = it.mService + "/" + it.mClass;
    auto& summary = aOut.mClasses[key];
    ++summary.mCalls;
    if (it.mOutcome == "answered") {
      ++summary.mAnswered;
      latencies[key].push_back(it.mLatencyMicros);
    } else {
      ++(it.mOutcome == "not_run" ? summary.mNotRun : summary.mUnknown);
    }
  }
  for (auto& [key, list] : latencies) {
    std::sort(list.begin(), list.end());
    auto& summary = aOut.mClasses[key];
    summary.mP50Ms = QuantileMs(list, 0.5);
    summary.mP99Ms = QuantileMs(list, 0.99);
    summary.mMaxMs = QuantileMs(list, 1);
  }
}

void SummarizeRuns(const std::vector<Event>& aEvents, Summary& aOut)
{
  std::map<std::string, std::int64_t> inFlight;
  std::set<std::string> seen;
  for (const auto& it : aEvents) {
    const auto key = it.mService + "/" + it.mRegion;
    if (it.mKind == EventKind::TargetShed) {
      ++aOut.mRegions[key].mSheds;
    } else if (it.mKind == EventKind::RunStarted) {
      auto& region = aOut.mRegions[key];
      ++region.mRuns;
      region.mPeak = std::max(region.mPeak, ++inFlight[key]);
      if (seen.insert(it.mPeer).second) {
        region.mSlots += it.mSlots;
      }
    } else if (it.mKind == EventKind::RunEnded ||
               it.mKind == EventKind::RunCancelled) {
      --inFlight[key];
    }
  }
}

template<class... Values>
void Print(std::string& aOut, const char* aFormat, Values... aValues)
{
  char buf[256];
  std::snprintf(buf, sizeof(buf), aFormat, aValues...);
  aOut += buf;
}

} // namespace

Summary Summarize(const std::vector<Event>& aEvents)
{
  Summary out;
  for (const auto& it : aEvents) {
    const bool failed = it.mKind == EventKind::CallFailed;
    if (failed || (it.mKind == EventKind::CallAnswered && it.mRan != "yes")) {
      ++out.mRefusals[it.mClass + " ran=" + (failed ? "?" : it.mRan) + " " +
                      it.mOutcome];
    }
  }
  SummarizeCalls(aEvents, out);
  SummarizeRuns(aEvents, out);
  return out;
}

std::string ToText(const Summary& aSummary)
{
  std::string out;
  Print(out, "%-28s %8s %8s %8s %8s %9s %9s %9s\n", "service/class", "calls",
        "answered", "not run", "unknown", "p50 ms", "p99 ms", "max ms");
  for (const auto& [key, it] : aSummary.mClasses) {
    Print(out, "%-28s %8lu %8lu %8lu %8lu %9.1f %9.1f %9.1f\n", key.c_str(),
          it.mCalls, it.mAnswered, it.mNotRun, it.mUnknown, it.mP50Ms,
          it.mP99Ms, it.mMaxMs);
  }
  Print(out, "\n%-28s %8s %8s %8s %8s %9s\n", "service/region", "runs", "shed",
        "peak", "slots", "peak/slots");
  for (const auto& [key, it] : aSummary.mRegions) {
    Print(out, "%-28s %8lu %8lu %8ld %8ld %9.2f\n", key.c_str(), it.mRuns,
          it.mSheds, it.mPeak, it.mSlots,
          it.mSlots > 0
            ? static_cast<double>(it.mPeak) / static_cast<double>(it.mSlots)
            : 0.0);
  }
  for (const auto& [key, n] : aSummary.mRefusals) {
    Print(out, "attempts refused or failed: %s: %lu\n", key.c_str(), n);
  }
  return out;
}

} // namespace guavaline::testing
