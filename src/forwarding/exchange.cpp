#include "forwarding/exchange.hpp"

#include "daemon/log.hpp"
#include "forwarding/crashes.hpp"
#include "forwarding/forward.hpp"

#include <guavaline/core/hash.hpp>

#include <array>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

/// Kept connections are used for idempotent requests this long, ...
constexpr Millis kReuseIdempotent{ 5'000 };
/// ... and for others only where proven live a moment ago.
constexpr Millis kReuseOnce{ 100 };
constexpr double kNewWeight = 0.1;

bool IsOwnHeader(const std::string& aName)
{
  constexpr std::array<std::string_view, 7> kOwn{
    kTimeoutHeader,  kRanHeader,       kReasonHeader,  kFromHeader,
    kIdentityHeader, kTargetRanHeader, kExchangeHeader
  };
  Headers one{ { aName, "x" } };
  for (const auto it : kOwn) {
    if (!FindHeader(one, it).empty()) {
      return true;
    }
  }
  return false;
}

bool IsForwarded(const Header& aHeader)
{
  const Headers one{ { aHeader.mName, "x" } };
  return !IsHopByHop(aHeader.mName) && !IsOwnHeader(aHeader.mName) &&
         FindHeader(one, "Host").empty() && FindHeader(one, "Expect").empty();
}

HttpRequest ForTarget(const Node& aNode, const Call& aCall, TimePoint aDeadline)
{
  HttpRequest out;
  out.mMethod = aCall.mRequest.mMethod;
  out.mTarget = aCall.mRequest.mTarget;
  out.mBody = aCall.mRequest.mBody;
  for (const auto& it : aCall.mRequest.mHeaders) {
    if (IsForwarded(it)) {
      out.mHeaders.push_back(it);
    }
  }
  const auto left =
    std::chrono::duration_cast<Millis>(aDeadline - Clock::now());
  out.mHeaders.push_back({ kTimeoutHeader, MillisText(left) });
  out.mHeaders.push_back({ kFromHeader, aNode.mSettings.mRegion });
  if (!aCall.mIdentity.empty()) {
    out.mHeaders.push_back({ kIdentityHeader, aCall.mIdentity });
  }
  return out;
}

HttpResponse ForCaller(HttpResponse aResponse)
{
  HttpResponse out;
  out.mStatus = aResponse.mStatus;
  out.mBody = std::move(aResponse.mBody);
  for (auto& it : aResponse.mHeaders) {
    if (IsForwarded(it)) {
      out.mHeaders.push_back(std::move(it));
    }
  }
  out.mHeaders.push_back({ kRanHeader, "yes" });
  return out;
}

void NoteServiceTime(ServiceState& aState, const std::string& aClass,
                     Millis aTime)
{
  auto& average = aState.mServiceTime[aClass];
  average = average.count() == 0 ? aTime
                                 : average + std::chrono::duration_cast<Millis>(
                                               kNewWeight * (aTime - average));
}

/// Learns from an exchange about its target.
void Learn(Node& aNode, const Call& aCall, const SlotHold& aHold,
           const ExchangeResult& aResult, TimePoint aStarted)
{
  const auto index = aHold.Index();
  if (!index) {
    return;
  }
  auto& state = aNode.mServices[aCall.mService];
  auto& health = state.mHealth[*index];
  const auto now = Clock::now();
  for (const auto& it : aResult.mLate) {
    NoteHeard(health.mRuns, it.mArrived);
  }
  if (!aResult.mLate.empty()) {
    aNode.mMetrics.Count("late_answers", "service=\"" + aCall.mService + "\"");
    LogBounded(LogClass::Failure, LogLevel::Info, "late_answers",
               { { "service", aCall.mService },
                 { "target", aHold.Held().mName },
                 { "identity", aCall.mIdentity },
                 { "count", std::to_string(aResult.mLate.size()) } });
  }
  if (IsUnidentified(aResult)) {
    NoteHeard(health.mRuns, now);
    NoteFailure(health, now);
    Log(LogLevel::Warning, "answer_unidentified",
        { { "service", aCall.mService },
          { "target", aHold.Held().mName },
          { "identity", aCall.mIdentity },
          { "status", std::to_string(aResult.mResponse->mStatus) } });
    return;
  }
  if (aResult.mResponse) {
    const auto time = std::chrono::duration_cast<Millis>(now - aStarted);
    NoteSuccess(health, time, now);
    NoteServiceTime(state, aCall.mClass.mName, time);
    NoteHeard(health.mRuns, now);
    if (aResult.mResponse->mStatus < 500) {
      NoteServed(aNode.mCrashTable, { aCall.mDigest, now });
    }
    if (!FindHeader(aResult.mResponse->mHeaders, kTargetLeavingHeader)
           .empty()) {
      NoteSaidLeaving(health);
    }
    return;
  }
  NoteFailure(health, now);
  if (aResult.mConnectFailed && !aResult.mTimedOut) {
    NoteProbe(health, false, false);
  }
  const TargetName name{ aCall.mService, aHold.Held().mName };
  if (aResult.mMayHaveReached) {
    const auto end = aResult.mTimedOut ? RunEnd::Unseen : RunEnd::Broke;
    NoteBrokenRun(aNode, name, { aCall.mDigest, aStarted, now, end });
  } else if (aResult.mConnectFailed) {
    NoteFailedConnection(aNode, name);
  }
  Log(LogLevel::Warning, "exchange_failed",
      { { "service", aCall.mService },
        { "target", aHold.Held().mName },
        { "identity", aCall.mIdentity },
        { "digest", HexId(aCall.mDigest) },
        { "step", aResult.mError.mStep },
        { "peer", aResult.mError.mPeer },
        { "error", aResult.mError.mReason } });
}

} // namespace

void NameExchange(Node& aNode, HttpRequest& aRequest, ExchangeOptions& aOptions)
{
  aOptions.mAnswerIdName = kExchangeHeader;
  aOptions.mAnswerId = std::to_string(++aNode.mLastExchange);
  aRequest.mHeaders.push_back({ kExchangeHeader, aOptions.mAnswerId });
}

TargetResult JudgeExchange(ExchangeResult aResult)
{
  TargetResult out;
  out.mMayHaveReached = aResult.mMayHaveReached;
  if (!aResult.mResponse) {
    return out;
  }
  out.mShed = aResult.mResponse->mStatus == 503 &&
              FindHeader(aResult.mResponse->mHeaders, kTargetRanHeader) == "no";
  if (IsUnidentified(aResult)) {
    return out;
  }
  out.mMayHaveReached = !out.mShed;
  out.mResponse = ForCaller(std::move(*aResult.mResponse));
  return out;
}

PlacementQuery QueryFor(const Call& aCall)
{
  return { aCall.mService,
           aCall.mClass,
           aCall.mPlace,
           aCall.mDeadline,
           aCall.mRequest.mBody.size(),
           aCall.mExcluded };
}

HttpResponse RefusalFor(PlacementFailure aFailure, bool aReached)
{
  const char* ran = aReached ? "unknown" : "no";
  switch (aFailure) {
    case PlacementFailure::NoTarget:
      return Refusal(503, ran, "no_target");
    case PlacementFailure::LinkFull:
      return Refusal(503, ran, "link_full");
    case PlacementFailure::Full:
    case PlacementFailure::None:
      break;
  }
  return Refusal(503, ran, "full");
}

asio::awaitable<TargetResult> ExchangeWith(Node& aNode, const Call& aCall,
                                           SlotHold& aHold, TimePoint aDeadline)
{
  const auto target = aHold.Held();
  const Endpoint endpoint{ target.mAddress, target.mPort };
  ExchangeOptions options;
  options.mDeadline = aDeadline;
  options.mReuseWithin =
    aCall.mClass.mIdempotent ? kReuseIdempotent : kReuseOnce;
  const auto started = Clock::now();
  const RunCount count(aNode, { aCall.mService, target.mName }, aCall.mDigest,
                       started);
  aHold.Linger();
  auto request = ForTarget(aNode, aCall, aDeadline);
  NameExchange(aNode, request, options);
  auto result = co_await aNode.mTargetClient.Exchange(
    endpoint, std::move(request), options);
  Learn(aNode, aCall, aHold, result, started);
  const bool timedOut = result.mTimedOut;
  auto out = JudgeExchange(std::move(result));
  if (out.mResponse || !out.mMayHaveReached) {
    aHold.EndsNow();
  }
  if (timedOut) {
    // Other kept connections to it may have gone silent.
    aNode.mTargetClient.Forget(endpoint);
  }
  const auto link = aNode.mLinks.find(target.mRegion);
  if (out.mResponse && link != aNode.mLinks.end()) {
    ChargeBytes(link->second, out.mResponse->mBody.size(), Clock::now());
  }
  co_return out;
}

} // namespace guavaline::detail
