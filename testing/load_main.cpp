/// Load tool: callers of a configuration's services.

#include "experiment/matrix.hpp"
#include "experiment/spread.hpp"
#include "history/checker.hpp"
#include "history/summary.hpp"
#include "load/driver.hpp"
#include "operator/apply.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <fstream>
#include <iostream>

namespace {

using namespace guavaline;
using namespace guavaline::testing;

struct Arguments
{
  std::string mConfiguration;
  std::string mHistory;
  std::vector<std::string> mFiles;
  double mUtilization = 0.5;
  double mMeanMs = 20;
  double mSeconds = 10;
  std::uint64_t mSeed = 1;
};

std::int64_t MillisIn(double aSeconds)
{
  constexpr double kMillisPerSecond = 1000;
  return static_cast<std::int64_t>(aSeconds * kMillisPerSecond);
}

Configuration Load(const std::string& aPath)
{
  return detail::leaf::try_handle_all(
    [&] { return detail::LoadConfiguration(aPath); },
    [](const detail::BadInput& a) {
      for (const auto& it : a.mProblems) {
        std::cerr << "guavaline-load: " << it.Describe() << '\n';
      }
      return Configuration{};
    },
    [] { return Configuration{}; });
}

int RunCalls(const Arguments& aArguments)
{
  const auto configuration = Load(aArguments.mConfiguration);
  if (configuration.mEntries.empty()) {
    return 2;
  }
  LoadPlan plan;
  for (const auto& it : configuration.mEntries) {
    plan.mEntries.push_back({ it.mAddress, it.mPort });
  }
  plan.mStreams =
    StreamsFor(configuration, aArguments.mUtilization, aArguments.mMeanMs);
  plan.mDuration = Millis(MillisIn(aArguments.mSeconds));
  plan.mSeed = aArguments.mSeed;
  History history;
  boost::asio::io_context context(1);
  boost::asio::co_spawn(context, RunLoad(context, plan, history),
                        boost::asio::detached);
  context.run();
  if (!aArguments.mHistory.empty() && !history.Save(aArguments.mHistory)) {
    std::cerr << "guavaline-load: cannot write " << aArguments.mHistory << '\n';
    return 1;
  }
  std::cout << ToText(Summarize(history.Copy()));
  return 0;
}

int RunExperiment(const Arguments& aArguments)
{
  Matrix matrix;
  auto problems = ReadMatrix(aArguments.mConfiguration, matrix);
  std::ofstream csv(aArguments.mHistory.empty() ? "/dev/null"
                                                : aArguments.mHistory);
  if (problems.empty()) {
    problems = RunMatrix(matrix, csv, std::cout);
  }
  for (const auto& it : problems) {
    std::cerr << "guavaline-load: " << it.Describe() << '\n';
  }
  return problems.empty() ? 0 : 2;
}

int CheckFiles(const Arguments& aArguments)
{
  std::vector<Event> events;
  for (const auto& it : aArguments.mFiles) {
    if (!LoadEvents(it, events)) {
      std::cerr << "guavaline-load: cannot read " << it << '\n';
      return 2;
    }
  }
  SortEvents(events);
  std::cout << ToText(Summarize(events));
  CheckOptions options;
  options.mConfiguration = Load(aArguments.mConfiguration);
  const auto violations = CheckHistory(events, options);
  for (const auto& it : violations) {
    std::cout << "violation: " << it << '\n';
  }
  std::cout << violations.size() << " violations\n";
  return violations.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("Load and history tool of guavaline, on its own stand-ins.");
  Arguments arguments;
  app.require_subcommand(1);
  auto* run = app.add_subcommand("run", "Call the services of a configuration");
  run->add_option("configuration", arguments.mConfiguration)->required();
  run->add_option("--utilization", arguments.mUtilization,
                  "Expected slots in use over all slots");
  run->add_option("--mean-ms", arguments.mMeanMs,
                  "Mean service time of the targets");
  run->add_option("--seconds", arguments.mSeconds);
  run->add_option("--seed", arguments.mSeed);
  run->add_option("--history", arguments.mHistory, "File for events");
  auto* check = app.add_subcommand("check", "Check histories of a run");
  check->add_option("configuration", arguments.mConfiguration)->required();
  check->add_option("files", arguments.mFiles)->required();
  auto* experiment = app.add_subcommand(
    "experiment", "Run a matrix of decisions with a hand-turned clock");
  experiment->add_option("matrix", arguments.mConfiguration, "Matrix (YAML)")
    ->required();
  experiment->add_option("--csv", arguments.mHistory, "File for all cells");
  auto* spread = app.add_subcommand(
    "spread", "How fast a configuration spreads by heartbeats, by fleet size");
  CLI11_PARSE(app, argc, argv);
  if (spread->parsed()) {
    ShowSpread(std::cout);
    return 0;
  }
  if (experiment->parsed()) {
    return RunExperiment(arguments);
  }
  return run->parsed() ? RunCalls(arguments) : CheckFiles(arguments);
}
