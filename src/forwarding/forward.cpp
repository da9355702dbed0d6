#include "forwarding/forward.hpp"

#include "codec/described.hpp"
#include "daemon/log.hpp"
#include "forwarding/crashes.hpp"
#include "forwarding/exchange.hpp"
#include "forwarding/flights.hpp"
#include "forwarding/placement.hpp"

#include <guavaline/core/hash.hpp>
#include <guavaline/core/units.hpp>

#include <algorithm>

namespace guavaline::detail {

namespace asio = boost::asio;

/// Body of a refusal.
struct RefusalBody
{
  std::string mRan;
  std::string mReason;
};
BOOST_DESCRIBE_STRUCT(RefusalBody, (), (mRan, mReason))

namespace {

constexpr const char* kRetryAfterSeconds = "1";
constexpr std::size_t kMaxTries = 3;
/// Part of the time limit that is kept for the answer's way, as a divisor.
constexpr int kReplyPart = 20;
constexpr Millis kMinReplyTime{ 10 };

std::string ServiceOf(const std::string& aTarget)
{
  const auto rest = PathOf(aTarget).substr(kServicePrefix.size());
  return std::string(rest.substr(0, rest.find('/')));
}

/// The path that the target sees.
std::string TargetPath(const std::string& aTarget)
{
  const auto slash = aTarget.find('/', kServicePrefix.size());
  return slash == std::string::npos ? "/" : aTarget.substr(slash);
}

Millis TimeLimit(const HttpRequest& aRequest, const RequestClass& aClass)
{
  const auto asked = ParseMillis(FindHeader(aRequest.mHeaders, kTimeoutHeader));
  const auto limit =
    std::min(asked.value_or(aClass.mDeadline), aClass.mDeadline);
  // The answer must reach the caller while it still waits.
  return limit - std::max(limit / kReplyPart, kMinReplyTime);
}

std::uint64_t DigestOf(const HttpRequest& aRequest)
{
  return HashPair(Hash(aRequest.mMethod + " " + aRequest.mTarget),
                  Hash(aRequest.mBody));
}

/// One more try of an idempotent request, or its end.
asio::awaitable<std::optional<HttpResponse>> TryOnce(Node& aNode, Call& aCall,
                                                     bool aLast)
{
  auto placement = co_await Place(aNode, QueryFor(aCall));
  if (placement.mFailure != PlacementFailure::None) {
    // A try that reached a target may have run there.
    co_return RefusalFor(placement.mFailure, aCall.mReached);
  }
  auto deadline = aCall.mDeadline;
  if (!aLast) {
    // Leaves time for another try where a connection has gone silent.
    deadline = Clock::now() + (deadline - Clock::now()) / 2;
  }
  auto result = co_await ExchangeWith(aNode, aCall, placement.mHold, deadline);
  aCall.mReached = aCall.mReached || result.mMayHaveReached;
  if (result.mResponse && !result.mShed) {
    co_return std::move(*result.mResponse);
  }
  if (const auto index = placement.mHold.Index()) {
    aCall.mExcluded.push_back(*index);
  }
  co_return std::nullopt;
}

asio::awaitable<HttpResponse> ForwardIdempotent(Node& aNode, Call aCall)
{
  for (std::size_t n = 1; n <= kMaxTries; ++n) {
    auto& retries = aNode.mServices[aCall.mService].mRetries;
    if (n == 1) {
      NoteRequest(retries);
    } else if (!TakeRetry(retries) || Clock::now() >= aCall.mDeadline ||
               CrashesTargets(aNode.mCrashTable, aCall.mDigest, Clock::now())) {
      break;
    }
    if (auto response = co_await TryOnce(aNode, aCall, n == kMaxTries)) {
      co_return std::move(*response);
    }
  }
  co_return Refusal(504, aCall.mReached ? "unknown" : "no", "targets_failed");
}

void NoteEnd(Node& aNode, const Call& aCall, const HttpResponse& aResponse)
{
  const auto now = Clock::now();
  aNode.mMetrics.NoteLatency(
    aCall.mService, aCall.mClass.mName,
    std::chrono::duration_cast<std::chrono::microseconds>(now -
                                                          aCall.mStarted));
  const auto reason = FindHeader(aResponse.mHeaders, kReasonHeader);
  if (!reason.empty()) {
    aNode.mMetrics.Count("refusals", "service=\"" + aCall.mService +
                                       "\",class=\"" + aCall.mClass.mName +
                                       "\",reason=\"" + std::string(reason) +
                                       "\"");
  }
  Log(LogLevel::Debug, "request_ended",
      { { "service", aCall.mService },
        { "class", aCall.mClass.mName },
        { "identity", aCall.mIdentity },
        { "status", std::to_string(aResponse.mStatus) },
        { "reason", std::string(reason) } });
}

} // namespace

HttpResponse Refusal(unsigned aStatus, const char* aRan,
                     const std::string& aReason)
{
  auto out = JsonResponse(aStatus, ToJson(RefusalBody{ aRan, aReason }));
  out.mHeaders.push_back({ kRanHeader, aRan });
  out.mHeaders.push_back({ kReasonHeader, aReason });
  if (aStatus == 503) {
    out.mHeaders.push_back({ "Retry-After", kRetryAfterSeconds });
  }
  return out;
}

asio::awaitable<HttpResponse> Forward(Node& aNode, HttpRequest aRequest)
{
  Call call;
  call.mStarted = Clock::now();
  call.mService = ServiceOf(aRequest.mTarget);
  if (aNode.mRefusesNew) {
    co_return Refusal(503, "no", "stopping");
  }
  if (aNode.mAccepted.mVersion == 0) {
    co_return Refusal(503, "no", "no_configuration");
  }
  const auto service = aNode.mServices.find(call.mService);
  if (service == aNode.mServices.end()) {
    co_return Refusal(404, "no", "unknown_service");
  }
  const auto* requestClass =
    FindClass(service->second.mService, aRequest.mMethod);
  if (requestClass == nullptr) {
    co_return Refusal(405, "no", "method_not_allowed");
  }
  call.mClass = *requestClass;
  call.mPlace = FindHeader(aRequest.mHeaders, kPlaceHeader);
  if (call.mPlace.empty()) {
    call.mPlace = aNode.mSettings.mRegion;
  }
  call.mDeadline = call.mStarted + TimeLimit(aRequest, call.mClass);
  call.mDigest = DigestOf(aRequest);
  call.mIdentity = FindHeader(aRequest.mHeaders, kIdentityHeader);
  call.mRequest = std::move(aRequest);
  call.mRequest.mTarget = TargetPath(call.mRequest.mTarget);
  if (CrashesTargets(aNode.mCrashTable, call.mDigest, call.mStarted) &&
      !MayTry(aNode, call.mDigest, call.mStarted)) {
    auto out = Refusal(422, "no", "crashes_targets");
    NoteEnd(aNode, call, out);
    co_return out;
  }
  HttpResponse out;
  if (call.mClass.mIdempotent) {
    out = co_await ForwardIdempotent(aNode, call);
  } else {
    out = co_await JoinFlight(aNode, call);
  }
  NoteEnd(aNode, call, out);
  co_return out;
}

} // namespace guavaline::detail
