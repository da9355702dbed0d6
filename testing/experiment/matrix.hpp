#pragma once

/// Matrices of experiments: read from YAML, run, and written as tables.

#include "experiment/experiment.hpp"

#include <guavaline/core/error.hpp>

#include <iosfwd>

namespace guavaline::testing {

/// All cells of policy by utilization by skew by slow targets by seed.
struct Matrix
{
  std::string mAnswers; ///< Path of an answered questionnaire.
  std::string mService;
  std::vector<Policy> mPolicies;
  Policy mBaseline = Policy::RoundRobin;
  std::vector<double> mUtilizations;
  std::vector<double> mSkews;
  std::vector<double> mSlowTargets;
  std::uint32_t mSeeds = 5;
  Millis mTime{ 60'000 };
  Millis mPeerWay{ 5 };
};

/// Reads a matrix file.
[[nodiscard]] Problems ReadMatrix(const std::string& aPath, Matrix& aOut);

/// Runs all cells; writes CSV lines for each cell and a table of the median,
/// least and greatest over the seeds, with the ratio to the baseline.
[[nodiscard]] Problems RunMatrix(const Matrix& aMatrix, std::ostream& aCsv,
                                 std::ostream& aTable);

} // namespace guavaline::testing
