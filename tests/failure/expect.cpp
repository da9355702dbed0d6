#include "expect.hpp"

#include "history/summary.hpp"

#include <cstdio>

namespace guavaline::tests {

testing::ClusterOptions Named(const char* aName)
{
  testing::ClusterOptions out;
  out.mName = aName;
  return out;
}

EndCounts CountEnds(testing::Cluster& aCluster)
{
  EndCounts out;
  for (const auto& it : aCluster.Events().Copy()) {
    if (it.mKind != testing::EventKind::CallEnded) {
      continue;
    }
    if (it.mOutcome == "answered") {
      ++out.mAnswered;
    } else {
      ++(it.mOutcome == "not_run" ? out.mNotRun : out.mUnknown);
    }
  }
  return out;
}

std::uint64_t CountCut(testing::Cluster& aCluster)
{
  std::uint64_t n = 0;
  for (const auto& it : aCluster.Events().Copy()) {
    if (it.mKind == testing::EventKind::CallFailed &&
        it.mOutcome.rfind("connect", 0) != 0) {
      std::printf("cut: %s at %s: %s\n", it.mIdentity.c_str(), it.mPeer.c_str(),
                  it.mOutcome.c_str());
      ++n;
    }
  }
  return n;
}

std::uint64_t CountRuns(testing::Cluster& aCluster, const std::string& aDigest)
{
  std::uint64_t n = 0;
  for (const auto& it : aCluster.Events().Copy()) {
    if (it.mKind == testing::EventKind::RunStarted && it.mDigest == aDigest) {
      ++n;
    }
  }
  return n;
}

namespace {

/// Prints what happened to the request that a violation names.
void PrintTrace(const std::vector<testing::Event>& aEvents,
                const std::string& aViolation)
{
  for (const auto& it : aEvents) {
    if (!it.mIdentity.empty() &&
        aViolation.find(it.mIdentity + " ") != std::string::npos) {
      std::printf("violation: trace: %ld us kind %d class %s peer %s ran %s "
                  "outcome %s status %ld\n",
                  it.mMicros, static_cast<int>(it.mKind), it.mClass.c_str(),
                  it.mPeer.c_str(), it.mRan.c_str(), it.mOutcome.c_str(),
                  it.mStatus);
    }
  }
}

} // namespace

void ExpectNoViolation(testing::Cluster& aCluster,
                       const testing::CheckOptions& aOptions)
{
  const auto events = aCluster.Events().Copy();
  std::printf("%s", testing::ToText(testing::Summarize(events)).c_str());
  const auto violations = aCluster.Violations(aOptions);
  constexpr std::size_t kShown = 20;
  for (std::size_t n = 0; n < violations.size() && n < kShown; ++n) {
    std::printf("violation: %s\n", violations[n].c_str());
    PrintTrace(events, violations[n]);
  }
  std::fflush(stdout);
  cr_assert_eq(violations.size(), 0U, "%zu violations", violations.size());
}

} // namespace guavaline::tests
