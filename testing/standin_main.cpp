/// Stand-ins for the platform's store and for targets, as processes.

#include "operator/apply.hpp"
#include "standin/store.hpp"
#include "standin/target.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace guavaline;
using namespace guavaline::testing;

constexpr int kExitCannotStart = 3;

struct Arguments
{
  std::string mListen = "127.0.0.1:7000";
  std::string mConfiguration;
  std::string mRegion;
  std::string mHistory;
  double mMeanMs = 20;
  std::uint64_t mSeed = 1;
};

int RunUntilStopped(boost::asio::io_context& aContext)
{
  boost::asio::signal_set signals(aContext, SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) { aContext.stop(); });
  aContext.run();
  return 0;
}

int RunStore(const Arguments& aArguments)
{
  boost::asio::io_context context(1);
  StoreStandin store(context);
  const auto endpoint = detail::ParseEndpoint(aArguments.mListen);
  const auto problem = endpoint
                         ? store.Listen(endpoint->mAddress, endpoint->mPort)
                         : aArguments.mListen + " is not IP:PORT";
  if (!problem.empty()) {
    std::cerr << "guavaline-standin: " << problem << '\n';
    return kExitCannotStart;
  }
  return RunUntilStopped(context);
}

std::map<std::string, Millis> DelaysTo(const Configuration& aConfiguration,
                                       const std::string& aRegion)
{
  std::map<std::string, Millis> out;
  for (const auto& it : aConfiguration.mLinks) {
    if (it.mTo == aRegion) {
      out[it.mFrom] = it.mDelay;
    }
  }
  return out;
}

int RunTargets(const Arguments& aArguments)
{
  const auto configuration = detail::leaf::try_handle_all(
    [&] { return detail::LoadConfiguration(aArguments.mConfiguration); },
    [] { return Configuration{}; });
  boost::asio::io_context context(1);
  History history;
  std::vector<std::unique_ptr<TargetStandin>> targets;
  auto seed = aArguments.mSeed;
  for (const auto& service : configuration.mServices) {
    for (const auto& it : service.mTargets) {
      if (!aArguments.mRegion.empty() && it.mRegion != aArguments.mRegion) {
        continue;
      }
      targets.push_back(std::make_unique<TargetStandin>(
        context, service.mName, it, DelaysTo(configuration, it.mRegion),
        history, ++seed));
      targets.back()->Behaviour().mMeanServiceMs = aArguments.mMeanMs;
      const auto problem = targets.back()->Start();
      if (!problem.empty()) {
        std::cerr << "guavaline-standin: " << problem << '\n';
        return kExitCannotStart;
      }
    }
  }
  if (targets.empty()) {
    std::cerr << "guavaline-standin: no targets in "
              << aArguments.mConfiguration << '\n';
    return kExitCannotStart;
  }
  RunUntilStopped(context);
  if (!aArguments.mHistory.empty() && !history.Save(aArguments.mHistory)) {
    std::cerr << "guavaline-standin: cannot write " << aArguments.mHistory
              << '\n';
    return 1;
  }
  return 0;
}

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("Stand-ins for what guavaline meets: the platform's store and "
               "targets.");
  Arguments arguments;
  app.require_subcommand(1);
  auto* store = app.add_subcommand("store", "The platform's object API");
  store->add_option("--listen", arguments.mListen, "IP:PORT");
  auto* targets = app.add_subcommand("targets", "Targets of a configuration");
  targets->add_option("--configuration", arguments.mConfiguration)->required();
  targets->add_option("--region", arguments.mRegion, "Only this region's");
  targets->add_option("--history", arguments.mHistory, "File for events");
  targets->add_option("--mean-ms", arguments.mMeanMs, "Mean service time");
  targets->add_option("--seed", arguments.mSeed);
  CLI11_PARSE(app, argc, argv);
  return store->parsed() ? RunStore(arguments) : RunTargets(arguments);
}
