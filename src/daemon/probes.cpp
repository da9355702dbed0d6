#include "daemon/probes.hpp"

#include "codec/described.hpp"
#include "daemon/log.hpp"
#include "forwarding/exchange.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace guavaline::detail {

namespace asio = boost::asio;

/// Body of a target's health endpoint.
struct HealthReport
{
  double mLoad = 0; ///< Requests in flight over slots.
  bool mLeaving = false;
};
BOOST_DESCRIBE_STRUCT(HealthReport, (), (mLoad, mLeaving))

namespace {

constexpr Millis kProbePeriod{ 1'000 };
constexpr Millis kProbeTimeout{ 1'500 };
constexpr const char* kHealthPath = "/health";

TargetHealth* Find(Node& aNode, const std::string& aService,
                   const std::string& aTarget)
{
  const auto it = aNode.mServices.find(aService);
  if (it == aNode.mServices.end()) {
    return nullptr;
  }
  const auto& targets = it->second.mService.mTargets;
  for (std::size_t n = 0; n < targets.size(); ++n) {
    if (targets[n].mName == aTarget) {
      return &it->second.mHealth[n];
    }
  }
  return nullptr;
}

asio::awaitable<void> Probe(Node& aNode, std::string aService, Target aTarget)
{
  HttpRequest request;
  request.mTarget = kHealthPath;
  request.mHeaders.push_back({ kFromHeader, aNode.mSettings.mRegion });
  ExchangeOptions options;
  options.mDeadline = Clock::now() + kProbeTimeout;
  NameExchange(aNode, request, options);
  const Endpoint endpoint{ aTarget.mAddress, aTarget.mPort };
  const auto result = co_await aNode.mTargetClient.Exchange(
    endpoint, std::move(request), options);
  auto* health = Find(aNode, aService, aTarget.mName);
  if (health == nullptr) {
    co_return;
  }
  HealthReport report;
  // One probe that ran out of time says little; a refused connection does.
  const bool saysLittle = result.mTimedOut || IsUnidentified(result);
  const bool whole = !saysLittle && result.mResponse &&
                     result.mResponse->mStatus == 200 &&
                     FromJson(result.mResponse->mBody, report).empty();
  const bool reachable = whole || (saysLittle && health->mReachable);
  if (reachable != health->mReachable || report.mLeaving != health->mLeaving) {
    Log(LogLevel::Info, "target_health",
        { { "service", aService },
          { "target", aTarget.mName },
          { "reachable", reachable ? "yes" : "no" },
          { "leaving", report.mLeaving ? "yes" : "no" } });
  }
  if (saysLittle) {
    NoteFailure(*health, Clock::now());
    co_return;
  }
  NoteProbe(*health, reachable, report.mLeaving);
}

} // namespace

asio::awaitable<void> ProbeTargets(Node& aNode)
{
  while (!aNode.mStopping) {
    std::vector<std::pair<std::string, Target>> targets;
    for (const auto& [name, state] : aNode.mServices) {
      for (const auto& it : state.mService.mTargets) {
        targets.emplace_back(name, it);
      }
    }
    // Spread over the period, so that targets do not get probes in bursts.
    const auto step =
      targets.empty()
        ? kProbePeriod
        : std::max(kProbePeriod / static_cast<Millis::rep>(targets.size()),
                   Millis(1));
    if (targets.empty()) {
      co_await Sleep(aNode, step);
    }
    for (auto& [service, target] : targets) {
      asio::co_spawn(aNode.mContext,
                     Probe(aNode, std::move(service), std::move(target)),
                     asio::detached);
      co_await Sleep(aNode, step);
    }
  }
}

} // namespace guavaline::detail
