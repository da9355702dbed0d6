#include "entry/rate_limits.hpp"

#include "entry/entry.hpp"

#include <array>
#include <cstdio>
#include <utility>

namespace guavaline::detail {

namespace {

std::string RateText(const std::optional<double>& aPerSecond)
{
  if (!aPerSecond) {
    return "none";
  }
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.2f", *aPerSecond);
  return buf.data();
}

const char* NameOf(LimitChange aChange)
{
  switch (aChange) {
    case LimitChange::Named:
      return "named";
    case LimitChange::Changed:
      return "changed";
    case LimitChange::Ended:
      return "ended";
    case LimitChange::None:
      break;
  }
  return "";
}

void LogChange(const LiveTarget& aTarget, LimitChange aChange)
{
  if (aChange == LimitChange::None) {
    return;
  }
  LogBounded(
    LogClass::Failure, LogLevel::Info, "target_limit",
    { { "target", aTarget.mRegistration.mId },
      { "service", aTarget.mRegistration.mService },
      { "change", NameOf(aChange) },
      { "limit_per_s", RateText(aTarget.mLimit.mStatement.mPerSecond) } });
}

} // namespace

void LearnLimit(Entry& aEntry, LiveTarget& aTarget, const HttpResponse& aAnswer,
                TimePoint aSent, TimePoint aNow)
{
  const auto& names = aEntry.mPlatform.mHeaders;
  const auto text = FindHeader(aAnswer.mHeaders, names.mRateLimit);
  if (text.empty()) {
    // Only the target's own program can say that a limit has ended.
    if (!FindHeader(aAnswer.mHeaders, names.mProof).empty()) {
      LogChange(aTarget, TakeAnswer(aTarget.mLimit, {}, aSent, aNow));
    }
    return;
  }
  const auto limit = aEntry.mPlatform.mReadRateLimit(text);
  if (!limit) {
    LogBounded(LogClass::Failure, LogLevel::Warning, "target_limit_unreadable",
               { { "target", aTarget.mRegistration.mId },
                 { "field", names.mRateLimit },
                 { "found", std::string(text) },
                 { "allowed", "requests a second, a decimal number" } });
    return;
  }
  LogChange(aTarget, TakeAnswer(aTarget.mLimit, limit, aSent, aNow));
}

void NoteLimitedSend(Entry& aEntry, LiveTarget& aTarget)
{
  if (!aTarget.mLimit.mStatement.mPerSecond) {
    return;
  }
  ++aTarget.mLimit.mSent;
  aEntry.mMetrics.Count("limited_requests",
                        "service=\"" + aTarget.mRegistration.mService + "\"");
}

void LogLimits(Entry& aEntry, TimePoint aNow)
{
  for (const auto& [id, target] : aEntry.mRegistry.mTargets) {
    auto& limit = target->mLimit;
    const auto sent = std::exchange(limit.mSent, 0);
    if (!limit.mStatement.mPerSecond) {
      continue;
    }
    const auto age =
      std::chrono::duration_cast<Millis>(aNow - limit.mStatement.mStated);
    LogBounded(LogClass::Failure, LogLevel::Info, "limited_target",
               { { "target", id },
                 { "service", target->mRegistration.mService },
                 { "limit_per_s", RateText(limit.mStatement.mPerSecond) },
                 { "age_ms", MillisText(age) },
                 { "sent", std::to_string(sent) } });
  }
}

} // namespace guavaline::detail
