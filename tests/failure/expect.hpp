#pragma once

/// What failure tests expect of a deployment's history.

#include "cluster/cluster.hpp"

#include <criterion/criterion.h>

namespace guavaline::tests {

/// How calls ended.
struct EndCounts
{
  std::uint64_t mAnswered = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
};

/// @returns the usual size of a deployment
[[nodiscard]] testing::ClusterOptions Named(const char* aName);

[[nodiscard]] EndCounts CountEnds(testing::Cluster& aCluster);

/// @returns attempts that were sent and cut off without an answer
[[nodiscard]] std::uint64_t CountCut(testing::Cluster& aCluster);

/// @returns runs that targets began with a body of this digest
[[nodiscard]] std::uint64_t CountRuns(testing::Cluster& aCluster,
                                      const std::string& aDigest);

/// Fails the test and lists what was violated.
void ExpectNoViolation(testing::Cluster& aCluster,
                       const testing::CheckOptions& aOptions = {});

} // namespace guavaline::tests
