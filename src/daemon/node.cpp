#include "daemon/node.hpp"

#include "daemon/adoption.hpp"
#include "daemon/callers_api.hpp"
#include "daemon/event_loop.hpp"
#include "daemon/gossip.hpp"
#include "daemon/handover.hpp"
#include "daemon/loans.hpp"
#include "daemon/log.hpp"
#include "daemon/probes.hpp"
#include "forwarding/placement.hpp"

#include <guavaline/core/hash.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

constexpr Millis kLeaveMargin{ 500 };
constexpr Millis kStopPoll{ 20 };
constexpr Millis kOfferTime{ 200 };
constexpr int kLeaveSteps = 10;
constexpr int kExitCut = 1;
constexpr int kExitCannotStart = 3;

std::uint64_t NewSeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// Counters of membership start here, so that a later life's are higher.
std::uint64_t FirstCounter()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<Millis>(now).count());
}

void Spawn(Node& aNode, asio::awaitable<void> aTask)
{
  asio::co_spawn(aNode.mContext, std::move(aTask), asio::detached);
}

std::string Listen(Node& aNode)
{
  const auto& settings = aNode.mSettings;
  auto problem = aNode.mHttpServer.Listen(
    aNode.mContext, settings.mAddress, settings.mPort,
    [&aNode](HttpRequest a) { return Answer(aNode, std::move(a)); },
    HttpServerLimits{});
  if (!problem.empty()) {
    return problem;
  }
  return aNode.mPeerServer.Listen(
    aNode.mContext, settings.mAddress, settings.mPeerPort, settings.mKey,
    [&aNode](std::string aKind, std::string aBody) {
      return AnswerPeer(aNode, std::move(aKind), std::move(aBody));
    },
    [&aNode](const std::string& a) { return aNode.mBlocked.count(a) == 0; });
}

/// Waits until no request is in flight.
asio::awaitable<void> AwaitIdle(Node& aNode)
{
  while (aNode.mHttpServer.InFlight() > 0 || !aNode.mFlights.empty()) {
    co_await Sleep(aNode, kStopPoll);
  }
}

/// Leaves look-ups, serves while callers may still use old answers, then
/// refuses what comes and ends when nothing is in flight.
asio::awaitable<void> Leave(Node& aNode)
{
  Log(LogLevel::Info, "leaving",
      { { "in_flight", std::to_string(aNode.mHttpServer.InFlight()) } });
  aNode.mView.mOwnNews.mLeaving = true;
  co_await TellEveryone(aNode);
  // As callers' look-up answers expire, peers take over the slots.
  const auto time = aNode.mAccepted.mConfiguration.mLookupTtl + kLeaveMargin;
  for (int n = 1; n <= kLeaveSteps; ++n) {
    co_await OfferSlots(aNode, static_cast<double>(n) / kLeaveSteps);
    co_await Sleep(aNode, time / kLeaveSteps);
  }
  aNode.mRefusesNew = true;
  aNode.mHttpServer.Drain();
  co_await AwaitIdle(aNode);
  co_await OfferSlots(aNode, 1);
  co_await Sleep(aNode, kOfferTime);
  // Refusals of requests that came meanwhile go out whole.
  co_await AwaitIdle(aNode);
  Log(LogLevel::Info, "stopped", {});
  aNode.mContext.stop();
}

asio::awaitable<void> AwaitSignals(Node& aNode, int& aExitCode)
{
  asio::signal_set signals(aNode.mContext, SIGTERM, SIGINT);
  co_await signals.async_wait(asio::use_awaitable);
  Spawn(aNode, Leave(aNode));
  co_await signals.async_wait(asio::use_awaitable);
  Log(LogLevel::Warning, "stopped_at_once",
      { { "cut_in_flight", std::to_string(aNode.mHttpServer.InFlight()) } });
  aExitCode = kExitCut;
  aNode.mContext.stop();
}

} // namespace

Node::Node(asio::io_context& aContext, Settings aSettings)
  : mContext(aContext)
  , mSettings(std::move(aSettings))
  , mRandom(NewSeed())
  , mSelf{ mSettings.mName, mRandom() >> 1U }
  , mView(MakeView(mSelf, MembershipTimes{}))
  , mAttempts(MakeAttemptTable(mSelf, Millis(600'000), Clock::now()))
  , mTargetClient(aContext.get_executor())
  , mStoreHttp(aContext.get_executor())
  , mStore{ mStoreHttp, *ParseEndpoint(mSettings.mStore) }
  , mPeers(aContext.get_executor(), mSettings.mKey, mSettings.mAddress)
{
  mView.mOwnNews.mCounter = FirstCounter();
}

Node::~Node() = default;

asio::awaitable<void> Sleep(Node& aNode, Millis aTime)
{
  asio::steady_timer timer(aNode.mContext, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

WallTime WallNow()
{
  return std::chrono::floor<Seconds>(std::chrono::system_clock::now());
}

asio::awaitable<PeerReply> CallEntry(Node& aNode, const std::string& aEntry,
                                     const char* aKind, std::string aBody,
                                     Millis aTimeout)
{
  const auto* entry = FindEntry(aNode.mAccepted.mConfiguration, aEntry);
  if (entry == nullptr || aNode.mBlocked.count(entry->mAddress) > 0) {
    co_return NoReply(aKind, aEntry, "not reachable");
  }
  const Endpoint peer{ entry->mAddress, entry->mPeerPort };
  co_return co_await aNode.mPeers.Call(peer, aKind, std::move(aBody), aTimeout);
}

int RunNode(Settings aSettings)
{
  StartLog(aSettings.mName);
  SetLogLevel(aSettings.mLogLevel);
  asio::io_context context(1);
  int exitCode = 0;
  Node node(context, std::move(aSettings));
  const auto problem = Listen(node);
  if (!problem.empty()) {
    Log(LogLevel::Error, "cannot_start", { { "error", problem } });
    return kExitCannotStart;
  }
  Spawn(node, AwaitSignals(node, exitCode));
  const auto lasting = [&](const char* aName, TaskMaker aMake) {
    SpawnLasting(context.get_executor(), aName, std::move(aMake));
  };
  lasting("store", [&] { return FollowStore(node); });
  lasting("host_list", [&] { return FollowHostList(node); });
  lasting("heartbeats", [&] { return SendHeartbeats(node); });
  lasting("probes", [&] { return ProbeTargets(node); });
  lasting("loans", [&] { return ReturnIdleLoans(node); });
  lasting("traffic", [&] { return MoveTraffic(node); });
  Log(LogLevel::Info, "started",
      { { "address", node.mSettings.mAddress },
        { "port", std::to_string(node.mSettings.mPort) },
        { "incarnation", HexId(node.mSelf.mNumber) } });
  RunEventLoop(context);
  return exitCode;
}

} // namespace guavaline::detail
