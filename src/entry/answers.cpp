/// Answers of the entry's own, and the record of each request.

#include "entry/request_state.hpp"

#include <guavaline/core/hash.hpp>
#include <guavaline/core/units.hpp>

#include <algorithm>

namespace guavaline::detail {
namespace {

constexpr double kMsPerSecond = 1'000;
/// Ages above this are logged as this.
constexpr Millis kMaxAge{ 600'000 };

} // namespace

HttpResponse Reject(const Entry& aEntry, const RequestState& aState,
                    Millis aRetryAfter, const char* aReason)
{
  HttpResponse out;
  out.mStatus = 503;
  const auto seconds =
    DecimalText(static_cast<double>(aRetryAfter.count()) / kMsPerSecond, 3);
  out.mHeaders = { { "Retry-After", seconds },
                   { "Content-Type", "text/plain" },
                   { aEntry.mPlatform.mHeaders.mRequestId, aState.mId } };
  out.mBody = std::string("not run: ") + aReason + "\n";
  return out;
}

HttpResponse Fail(const Entry& aEntry, const RequestState& aState,
                  unsigned aStatus, const char* aReason)
{
  HttpResponse out;
  out.mStatus = aStatus;
  out.mHeaders = { { "Content-Type", "text/plain" },
                   { aEntry.mPlatform.mHeaders.mRequestId, aState.mId } };
  out.mBody = std::string(aReason) + "\n";
  return out;
}

void NoteEnd(Entry& aEntry, const RequestState& aState, unsigned aStatus,
             const char* aReason, TimePoint aNow)
{
  const auto took = aNow - aState.mArrived;
  aEntry.mMetrics.NoteLatency(
    aState.mService, aState.mRoute.mName,
    std::chrono::duration_cast<std::chrono::microseconds>(took));
  aEntry.mMetrics.Count("requests", "route=\"" + aState.mRoute.mName +
                                      "\",reason=\"" + aReason + "\"");
  if (!aState.mAccount.empty()) {
    aEntry.mMetrics.Count("account_requests", "account=\"" + aState.mAccount +
                                                "\",reason=\"" + aReason +
                                                "\"");
  }
  NoteSplitEnd(aEntry, aState);
  const auto& view = aEntry.mFollows[ObjectKind::Targets].mView;
  const auto viewAge = std::chrono::duration_cast<Millis>(
    aNow - std::max(view.mConfirmed, aState.mArrived - kMaxAge));
  const bool good = aStatus < 400;
  const auto& choice = aState.mChoice;
  const std::string target =
    choice.mTarget ? choice.mTarget->mRegistration.mId : "";
  LogBounded(
    good ? LogClass::Routine : LogClass::Failure, LogLevel::Info,
    "request_ended",
    { { "request", aState.mId },
      { "route", aState.mRoute.mName },
      { "service", aState.mService },
      { "account", aState.mAccount },
      { "status", std::to_string(aStatus) },
      { "reason", aReason },
      { "object", HexId(aState.mKey) },
      { "target", target },
      { "sends", std::to_string(aState.mSends) },
      { "returning", aState.mReturning ? "yes" : "no" },
      { "warmth", std::to_string(static_cast<int>(choice.mWarmth)) },
      { "wait_ms", MillisText(choice.mWait) },
      { "run_ms", MillisText(choice.mRun) },
      { "took_ms", MillisText(std::chrono::duration_cast<Millis>(took)) },
      { "left_ms", MillisText(std::chrono::duration_cast<Millis>(
                     aState.mDeadline - aNow)) },
      { "configuration", std::to_string(aState.mVersion) },
      { "view_revision", std::to_string(view.mRevision) },
      { "view_age_ms", MillisText(viewAge) } });
}

} // namespace guavaline::detail
