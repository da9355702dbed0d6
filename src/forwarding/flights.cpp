#include "forwarding/flights.hpp"

#include "daemon/log.hpp"
#include "forwarding/forward.hpp"
#include "peers/messages.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

constexpr Millis kResolveTimeout{ 1'000 };
constexpr std::size_t kMaxHops = 4;
constexpr std::size_t kMaxTries = 3;
constexpr std::size_t kMaxRecordedBytes = 65'536;

Outcome ToOutcome(const HttpResponse& aResponse)
{
  Outcome out;
  out.mStatus = aResponse.mStatus;
  out.mContentType = FindHeader(aResponse.mHeaders, "Content-Type");
  if (aResponse.mBody.size() <= kMaxRecordedBytes) {
    out.mBody = aResponse.mBody;
  }
  return out;
}

HttpResponse Replay(const Outcome& aOutcome)
{
  HttpResponse out;
  out.mStatus = aOutcome.mStatus;
  out.mBody = aOutcome.mBody;
  out.mHeaders = { { kRanHeader, "yes" }, { "Guavaline-Replayed", "yes" } };
  if (!aOutcome.mContentType.empty()) {
    out.mHeaders.push_back({ "Content-Type", aOutcome.mContentType });
  }
  return out;
}

asio::awaitable<ResolveAnswer> AskHolder(Node& aNode, std::string aIdentity,
                                         Incarnation aHolder)
{
  const ResolveQuestion question{ aIdentity, aHolder, aNode.mSelf };
  const auto reply = co_await CallEntry(aNode, aHolder.mEntry, kResolveCall,
                                        ToJson(question), kResolveTimeout);
  ResolveAnswer out;
  ResolveMessage message;
  if (!reply.mBody || !FromJson(*reply.mBody, message).empty()) {
    Log(LogLevel::Warning, "resolve_failed",
        { { "identity", aIdentity }, { "error", reply.mError.Describe() } });
    co_return out;
  }
  out.mVerdict = message.mVerdict;
  out.mOutcome = message.mOutcome.value_or(Outcome{});
  out.mHolder = message.mHolder.value_or(Incarnation{});
  co_return out;
}

/// Finds out whether this entry may run an identity, asking other holders.
asio::awaitable<AdmitDecision> Decide(Node& aNode, std::string aIdentity,
                                      std::uint64_t aDigest)
{
  auto decision = Admit(aNode.mAttempts, aIdentity, aDigest, Clock::now());
  for (std::size_t n = 0; n < kMaxHops && decision.mAction == AdmitAction::Ask;
       ++n) {
    const auto answer = co_await AskHolder(aNode, aIdentity, decision.mAsk);
    decision = TakeAnswer(aNode.mAttempts, aIdentity, answer);
  }
  if (decision.mAction == AdmitAction::Ask) {
    AbandonAsk(aNode.mAttempts, aIdentity);
    decision.mAction = AdmitAction::Unknown;
  }
  co_return decision;
}

/// Refuses an identity that nothing here has run. A peer may have been given it
/// meanwhile, and may have run it.
HttpResponse RefuseUnrun(const Node& aNode, const Call& aCall,
                         HttpResponse aRefusal)
{
  return IsHeld(aNode.mAttempts, aCall.mIdentity)
           ? std::move(aRefusal)
           : Refusal(503, "unknown", "moved");
}

/// Runs an identity that is held here.
asio::awaitable<HttpResponse> RunHeld(Node& aNode, Call& aCall)
{
  for (std::size_t n = 0; n < kMaxTries; ++n) {
    auto placement = co_await Place(aNode, QueryFor(aCall));
    if (placement.mFailure != PlacementFailure::None) {
      co_return RefuseUnrun(aNode, aCall,
                            RefusalFor(placement.mFailure, false));
    }
    if (!StartRun(aNode.mAttempts, aCall.mIdentity)) {
      // A peer was given it while it waited here.
      co_return Refusal(503, "unknown", "moved");
    }
    auto result =
      co_await ExchangeWith(aNode, aCall, placement.mHold, aCall.mDeadline);
    if (!result.mMayHaveReached) {
      FinishNotRun(aNode.mAttempts, aCall.mIdentity);
      if (const auto index = placement.mHold.Index()) {
        aCall.mExcluded.push_back(*index);
      }
      continue;
    }
    if (!result.mResponse) {
      FinishUnknown(aNode.mAttempts, aCall.mIdentity);
      co_return Refusal(504, "unknown", "no_answer");
    }
    FinishRun(aNode.mAttempts, aCall.mIdentity, ToOutcome(*result.mResponse));
    co_return std::move(*result.mResponse);
  }
  co_return RefuseUnrun(aNode, aCall, Refusal(503, "no", "targets_failed"));
}

asio::awaitable<HttpResponse> Run(Node& aNode, Call& aCall)
{
  const auto decision = co_await Decide(aNode, aCall.mIdentity, aCall.mDigest);
  switch (decision.mAction) {
    case AdmitAction::Run:
      co_return co_await RunHeld(aNode, aCall);
    case AdmitAction::Replay:
      co_return Replay(decision.mOutcome);
    case AdmitAction::Malformed: {
      auto out = Refusal(428, "no", "identity_needed");
      out.mHeaders.push_back({ "Guavaline-Identity-Prefix",
                               IdentityPrefix(aNode.mAttempts, Clock::now()) });
      co_return out;
    }
    case AdmitAction::Reused:
      co_return Refusal(422, "no", "identity_reused");
    case AdmitAction::Full:
      co_return Refusal(503, "no", "memory_full");
    case AdmitAction::Ask:
    case AdmitAction::Join:
    case AdmitAction::Unknown:
      break;
  }
  co_return Refusal(504, "unknown", "may_have_run");
}

/// Runs an identity so that those who wait for it get an answer in any case.
asio::awaitable<HttpResponse> RunOrFail(Node& aNode, Call& aCall)
{
  try {
    co_return co_await Run(aNode, aCall);
  } catch (const std::exception& e) {
    Log(LogLevel::Error, "run_failed",
        { { "identity", aCall.mIdentity }, { "error", e.what() } });
  }
  co_return Refusal(504, "unknown", "may_have_run");
}

asio::awaitable<void> Fly(Node& aNode, Call aCall,
                          boost::intrusive_ptr<Flight> aFlight)
{
  aFlight->mResponse = co_await RunOrFail(aNode, aCall);
  aNode.mFlights.erase(aCall.mIdentity);
  aFlight->mEnded.cancel();
}

} // namespace

asio::awaitable<HttpResponse> JoinFlight(Node& aNode, Call aCall)
{
  boost::intrusive_ptr<Flight> flight;
  const auto it = aNode.mFlights.find(aCall.mIdentity);
  if (it != aNode.mFlights.end() && !aCall.mIdentity.empty()) {
    flight = it->second;
    if (flight->mDigest != aCall.mDigest) {
      co_return Refusal(422, "no", "identity_reused");
    }
  } else {
    flight.reset(new Flight(aNode.mContext.get_executor()));
    flight->mDigest = aCall.mDigest;
    if (!aCall.mIdentity.empty()) {
      aNode.mFlights[aCall.mIdentity] = flight;
    }
    asio::co_spawn(aNode.mContext, Fly(aNode, std::move(aCall), flight),
                   asio::detached);
  }
  while (!flight->mResponse) {
    boost::system::error_code ec;
    co_await flight->mEnded.async_wait(
      asio::redirect_error(asio::use_awaitable, ec));
  }
  co_return *flight->mResponse;
}

} // namespace guavaline::detail
