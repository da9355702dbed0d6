#include "daemon/gossip.hpp"

#include "daemon/adoption.hpp"
#include "daemon/handover.hpp"
#include "daemon/loans.hpp"
#include "daemon/log.hpp"
#include "peers/messages.hpp"

#include <guavaline/core/hash.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

constexpr Millis kHeartbeatTimeout{ 1'000 };

Heartbeat NextHeartbeat(Node& aNode)
{
  auto out = MakeHeartbeat(aNode.mView);
  auto refusals = TellRefusals(aNode.mCrashTable, Clock::now());
  out.mCrashers = std::move(refusals.mRefused);
  out.mCrashes = std::move(refusals.mEvidence);
  return out;
}

void TakeIn(Node& aNode, const Heartbeat& aHeartbeat)
{
  const auto now = Clock::now();
  TakeHeartbeat(aNode.mView, aHeartbeat, now);
  HearRefusals(aNode.mCrashTable, { aHeartbeat.mCrashers, aHeartbeat.mCrashes },
               now);
}

/// Fetches the configuration where a peer has a newer one.
void FetchIfNewer(Node& aNode, const Heartbeat& aHeartbeat)
{
  if (aHeartbeat.mSender.mVersion <= aNode.mAccepted.mVersion) {
    return;
  }
  const auto* entry =
    FindEntry(aNode.mAccepted.mConfiguration, aHeartbeat.mSender.mName);
  if (entry == nullptr) {
    return;
  }
  asio::co_spawn(
    aNode.mContext,
    FetchFrom(aNode, Endpoint{ entry->mAddress, entry->mPeerPort }),
    asio::detached);
}

asio::awaitable<void> Exchange(Node& aNode, Endpoint aPeer)
{
  if (aNode.mBlocked.count(aPeer.mAddress) > 0) {
    co_return;
  }
  const auto reply = co_await aNode.mPeers.Call(
    aPeer, kHeartbeatCall, ToJson(NextHeartbeat(aNode)), kHeartbeatTimeout);
  Heartbeat heartbeat;
  if (!reply.mBody || !FromJson(*reply.mBody, heartbeat).empty()) {
    Log(LogLevel::Debug, "heartbeat_failed",
        { { "error", reply.mError.Describe() } });
    co_return;
  }
  TakeIn(aNode, heartbeat);
  if (heartbeat.mSender.mVersion > aNode.mAccepted.mVersion) {
    co_await FetchFrom(aNode, aPeer);
  }
}

void CallLater(Node& aNode, const Endpoint& aPeer)
{
  asio::co_spawn(aNode.mContext, Exchange(aNode, aPeer), asio::detached);
}

/// Until a configuration is held, peers are known from the settings.
void CallSeeds(Node& aNode)
{
  for (const auto& it : aNode.mSettings.mSeeds) {
    CallLater(aNode, *ParseEndpoint(it));
  }
}

std::string AnswerConfiguration(const Node& aNode, const std::string& aBody)
{
  ConfigurationQuestion question;
  ConfigurationMessage message;
  const bool clear = FromJson(aBody, question).empty();
  if (clear && aNode.mAccepted.mVersion > question.mAbove) {
    message = { aNode.mAccepted.mVersion, aNode.mStored };
  }
  return ToJson(message);
}

std::string AnswerResolve(Node& aNode, const std::string& aBody)
{
  ResolveQuestion question;
  ResolveMessage message;
  if (FromJson(aBody, question).empty()) {
    const auto answer = Resolve(aNode.mAttempts, question.mIdentity,
                                question.mAsked, question.mAsker, Clock::now());
    message.mVerdict = answer.mVerdict;
    if (answer.mVerdict == ResolveVerdict::Done) {
      message.mOutcome = answer.mOutcome;
    }
    if (!answer.mHolder.mEntry.empty()) {
      message.mHolder = answer.mHolder;
    }
    Log(
      LogLevel::Info, "identity_resolved",
      { { "identity", question.mIdentity },
        { "asker", question.mAsker.mEntry },
        { "verdict", boost::describe::enum_to_string(answer.mVerdict, "") } });
  }
  return ToJson(message);
}

} // namespace

asio::awaitable<void> SendHeartbeats(Node& aNode)
{
  while (!aNode.mStopping) {
    Tick(aNode.mView);
    if (aNode.mAccepted.mVersion == 0) {
      CallSeeds(aNode);
    }
    for (const auto& it : PickPeers(aNode.mView, aNode.RandomSource())) {
      const auto* entry = FindEntry(aNode.mAccepted.mConfiguration, it);
      if (entry != nullptr) {
        CallLater(aNode, { entry->mAddress, entry->mPeerPort });
      }
    }
    const auto now = Clock::now();
    SettleAssignment(aNode, now);
    ForgetOld(aNode.mAttempts, now);
    ForgetOldCrashes(aNode.mCrashTable, now);
    co_await Sleep(aNode, aNode.mView.mTimes.mPeriod);
  }
}

asio::awaitable<void> TellEveryone(Node& aNode)
{
  Tick(aNode.mView);
  for (const auto& it : aNode.mAccepted.mConfiguration.mEntries) {
    if (it.mName != aNode.mSelf.mEntry) {
      CallLater(aNode, { it.mAddress, it.mPeerPort });
    }
  }
  co_return;
}

asio::awaitable<std::optional<std::string>> AnswerPeer(Node& aNode,
                                                       std::string aKind,
                                                       std::string aBody)
{
  if (aKind == kHeartbeatCall) {
    Heartbeat heartbeat;
    if (!FromJson(aBody, heartbeat).empty()) {
      co_return std::nullopt;
    }
    TakeIn(aNode, heartbeat);
    FetchIfNewer(aNode, heartbeat);
    co_return ToJson(NextHeartbeat(aNode));
  }
  if (aKind == kConfigurationCall) {
    co_return AnswerConfiguration(aNode, aBody);
  }
  if (aKind == kResolveCall) {
    co_return AnswerResolve(aNode, aBody);
  }
  if (aKind == kBorrowCall) {
    co_return AnswerBorrow(aNode, aBody);
  }
  if (aKind == kOfferCall) {
    co_return AnswerOffer(aNode, aBody);
  }
  if (aKind == kRecallCall) {
    co_return AnswerRecall(aNode, aBody);
  }
  if (aKind == kReturnCall) {
    co_return AnswerReturn(aNode, aBody);
  }
  co_return std::nullopt;
}

} // namespace guavaline::detail
