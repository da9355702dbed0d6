#include "experiment/matrix.hpp"

#include "codec/yaml.hpp"
#include "experiment/describe.hpp"

#include <guavaline/configuration/questionnaire.hpp>

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace guavaline::testing {

namespace {

/// A figure over the seeds.
struct Spread
{
  double mLeast = 0;
  double mMedian = 0;
  double mGreatest = 0;
};

Spread SpreadOf(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return { aValues.front(), aValues[aValues.size() / 2], aValues.back() };
}

template<class F>
Spread SpreadOf(const std::vector<ExperimentResult>& aResults, F aFigure)
{
  std::vector<double> values;
  for (const auto& it : aResults) {
    values.push_back(aFigure(it));
  }
  return SpreadOf(std::move(values));
}

double P99(const ExperimentResult& a)
{
  return a.mP99Ms;
}

double RefusedPercent(const ExperimentResult& a)
{
  constexpr double kPercent = 100;
  return kPercent * static_cast<double>(a.mRefused) /
         static_cast<double>(std::max<std::uint64_t>(a.mCalls, 1));
}

double Sheds(const ExperimentResult& a)
{
  return static_cast<double>(a.mSheds);
}

std::vector<ExperimentResult> RunSeeds(const Matrix& aMatrix,
                                       const Configuration& aConfiguration,
                                       const Service& aService,
                                       ExperimentCell aCell, std::ostream& aCsv)
{
  std::vector<ExperimentResult> out;
  for (std::uint32_t seed = 1; seed <= aMatrix.mSeeds; ++seed) {
    aCell.mSeed = seed;
    const auto it = RunCell(aConfiguration, aService, aCell);
    aCsv << PolicyName(aCell.mPolicy) << ',' << aCell.mUtilization << ','
         << aCell.mSkew << ',' << aCell.mSlowTargets << ',' << seed << ','
         << it.mCalls << ',' << it.mAnswered << ',' << it.mRefused << ','
         << it.mSheds << ',' << it.mP50Ms << ',' << it.mP99Ms << '\n';
    out.push_back(it);
  }
  return out;
}

void ShowRow(const ExperimentCell& aCell,
             const std::vector<ExperimentResult>& aResults, double aBaseline,
             std::ostream& aTable)
{
  const auto p50 =
    SpreadOf(aResults, [](const ExperimentResult& a) { return a.mP50Ms; });
  const auto p99 = SpreadOf(aResults, P99);
  const auto refused = SpreadOf(aResults, RefusedPercent);
  const auto sheds = SpreadOf(aResults, Sheds);
  aTable << std::fixed << std::setprecision(2) << std::left << std::setw(16)
         << PolicyName(aCell.mPolicy) << std::right << std::setw(6)
         << aCell.mUtilization << std::setw(6) << aCell.mSkew << std::setw(6)
         << aCell.mSlowTargets << std::setprecision(1) << std::setw(8)
         << p50.mMedian << std::setw(9) << p99.mLeast << std::setw(9)
         << p99.mMedian << std::setw(9) << p99.mGreatest << std::setprecision(2)
         << std::setw(9) << p99.mMedian / aBaseline << std::setw(10)
         << refused.mMedian << std::setprecision(0) << std::setw(9)
         << sheds.mMedian << '\n';
}

void RunGroup(const Matrix& aMatrix, const Configuration& aConfiguration,
              const Service& aService, ExperimentCell aCell, std::ostream& aCsv,
              std::ostream& aTable)
{
  aCell.mPolicy = aMatrix.mBaseline;
  const auto baseline =
    RunSeeds(aMatrix, aConfiguration, aService, aCell, aCsv);
  const auto p99 = SpreadOf(baseline, P99).mMedian;
  ShowRow(aCell, baseline, p99, aTable);
  for (const auto it : aMatrix.mPolicies) {
    if (it != aMatrix.mBaseline) {
      aCell.mPolicy = it;
      ShowRow(aCell, RunSeeds(aMatrix, aConfiguration, aService, aCell, aCsv),
              p99, aTable);
    }
  }
}

} // namespace

Problems ReadMatrix(const std::string& aPath, Matrix& aOut)
{
  Problems problems;
  const auto text = detail::ReadFile(aPath, problems);
  return text ? detail::FromYaml(aPath, *text, aOut) : problems;
}

Problems RunMatrix(const Matrix& aMatrix, std::ostream& aCsv,
                   std::ostream& aTable)
{
  Problems problems;
  Answers answers;
  const auto text = detail::ReadFile(aMatrix.mAnswers, problems);
  if (text) {
    problems = ReadAnswers(aMatrix.mAnswers, *text, answers);
  }
  const auto configuration = Generate(answers);
  const auto* service = FindService(configuration, aMatrix.mService);
  if (problems.empty() && service == nullptr) {
    problems.push_back({ {},
                         0,
                         "service",
                         "\"" + aMatrix.mService + "\"",
                         "a service of " + aMatrix.mAnswers });
  }
  if (!problems.empty()) {
    return problems;
  }
  aCsv << "policy,utilization,skew,slow_targets,seed,calls,answered,refused,"
          "sheds,p50_ms,p99_ms\n";
  aTable << "policy            util  skew  slow  p50 ms  p99 min  p99 med"
            "  p99 max /baseline refused %  sheds\n";
  for (const auto utilization : aMatrix.mUtilizations) {
    for (const auto skew : aMatrix.mSkews) {
      for (const auto slow : aMatrix.mSlowTargets) {
        ExperimentCell cell;
        cell.mUtilization = utilization;
        cell.mSkew = skew;
        cell.mSlowTargets = slow;
        cell.mTime = std::chrono::duration_cast<Seconds>(aMatrix.mTime);
        cell.mPeerWay = aMatrix.mPeerWay;
        RunGroup(aMatrix, configuration, *service, cell, aCsv, aTable);
      }
    }
  }
  return {};
}

} // namespace guavaline::testing
