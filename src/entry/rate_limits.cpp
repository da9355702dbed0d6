#include "entry/rate_limits.hpp"

#include "entry/messages.hpp"

#include <guavaline/core/units.hpp>

#include <algorithm>
#include <utility>

namespace guavaline::detail {

namespace {

/// Bounds the bytes of a heartbeat.
constexpr std::size_t kMaxLimitNews = 16;

std::string RateText(const std::optional<double>& aPerSecond)
{
  return aPerSecond ? DecimalText(*aPerSecond, 2) : "none";
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

void Share(const Entry& aEntry, LiveTarget& aTarget, TimePoint aNow)
{
  const auto limit = aTarget.mLimit.mStatement.mPerSecond;
  if (limit) {
    SetShare(aTarget.mLimit,
             ShareOf(aEntry.mRoster, aTarget.mRegion, aTarget.mHash,
                     MaxSharing(*limit), aNow),
             aNow);
  }
}

LimitNews NewsOf(const LiveTarget& aTarget, TimePoint aNow)
{
  const auto& statement = aTarget.mLimit.mStatement;
  const auto age = std::chrono::duration_cast<Millis>(aNow - statement.mStated);
  return { aTarget.mRegistration.mId, aTarget.mRegistration.mStarted,
           statement.mPerSecond, age };
}

void LogChange(const LiveTarget& aTarget, LimitChange aChange,
               const char* aSource)
{
  if (aChange == LimitChange::None) {
    return;
  }
  LogBounded(
    LogClass::Failure, LogLevel::Info, "target_limit",
    { { "target", aTarget.mRegistration.mId },
      { "service", aTarget.mRegistration.mService },
      { "change", NameOf(aChange) },
      { "limit_per_s", RateText(aTarget.mLimit.mStatement.mPerSecond) },
      { "source", aSource },
      { "sharing", std::to_string(aTarget.mLimit.mShare.mSharing) },
      { "rank", std::to_string(aTarget.mLimit.mShare.mRank) } });
}

/// Takes in an answer. Entries that send the target nothing learn only from
/// others that its limit has ended, so that they are told at once.
void TakeIn(Entry& aEntry, LiveTarget& aTarget,
            std::optional<double> aPerSecond, TimePoint aSent, TimePoint aNow)
{
  const auto change = TakeAnswer(aTarget.mLimit, aPerSecond, aSent, aNow);
  if (change == LimitChange::None) {
    return;
  }
  Share(aEntry, aTarget, aNow);
  LogChange(aTarget, change, "answer");
  if (change == LimitChange::Ended) {
    PushLimitNews(aEntry, NewsOf(aTarget, aNow));
  }
}

} // namespace

std::vector<LimitNews> TellLimits(const Entry& aEntry, TimePoint aNow)
{
  std::vector<LimitNews> out;
  for (const auto& [id, target] : aEntry.mRegistry.mTargets) {
    if (ShouldAnnounce(target->mLimit, aNow)) {
      out.push_back(NewsOf(*target, aNow));
    }
  }
  // Ended limits first: those that hold are confirmed by each answer, and so
  // are always newer.
  std::sort(out.begin(), out.end(), [](const LimitNews& a, const LimitNews& b) {
    return std::pair(a.mPerSecond.has_value(), a.mAge) <
           std::pair(b.mPerSecond.has_value(), b.mAge);
  });
  out.resize(std::min(out.size(), kMaxLimitNews));
  return out;
}

void HearLimits(Entry& aEntry, const std::vector<LimitNews>& aNews,
                TimePoint aNow)
{
  for (const auto& it : aNews) {
    const auto found = aEntry.mRegistry.mTargets.find(it.mTarget);
    if (found == aEntry.mRegistry.mTargets.end() ||
        found->second->mRegistration.mStarted != it.mStarted) {
      continue;
    }
    auto& target = *found->second;
    const auto change =
      TakeNews(target.mLimit, it.mPerSecond, aNow - it.mAge, aNow);
    if (change != LimitChange::None) {
      Share(aEntry, target, aNow);
      LogChange(target, change, "entry");
    }
  }
}

void ShareLimits(Entry& aEntry, TimePoint aNow)
{
  for (const auto& [id, target] : aEntry.mRegistry.mTargets) {
    Share(aEntry, *target, aNow);
  }
}

void LearnLimit(Entry& aEntry, LiveTarget& aTarget, const HttpResponse& aAnswer,
                TimePoint aSent, TimePoint aNow)
{
  const auto& names = aEntry.mPlatform.mHeaders;
  const auto text = FindHeader(aAnswer.mHeaders, names.mRateLimit);
  if (text.empty()) {
    // Only the target's own program can say that a limit has ended.
    if (!FindHeader(aAnswer.mHeaders, names.mProof).empty()) {
      TakeIn(aEntry, aTarget, std::nullopt, aSent, aNow);
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
  TakeIn(aEntry, aTarget, limit, aSent, aNow);
}

void NoteLimitedSend(Entry& aEntry, LiveTarget& aTarget, TimePoint aNow)
{
  if (!aTarget.mLimit.mStatement.mPerSecond) {
    return;
  }
  NoteSend(aTarget.mLimit, aNow);
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
