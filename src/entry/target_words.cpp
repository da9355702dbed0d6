#include "entry/target_words.hpp"

#include "daemon/log.hpp"

#include <guavaline/core/hash.hpp>

namespace guavaline::detail {

namespace {

constexpr unsigned kUnavailable = 503;

void LearnPause(Entry& aEntry, LiveTarget& aTarget, const HttpResponse& aAnswer,
                const std::string& aRequest, TimePoint aNow)
{
  const auto& field = aEntry.mPlatform.mHeaders.mPause;
  const auto text = FindHeader(aAnswer.mHeaders, field);
  if (text.empty() || aAnswer.mStatus != kUnavailable) {
    return;
  }
  const auto time = aEntry.mPlatform.mReadPause(text);
  if (!time) {
    LogBounded(LogClass::Failure, LogLevel::Warning, "target_pause_unreadable",
               { { "target", aTarget.mRegistration.mId },
                 { "field", field },
                 { "found", std::string(text) },
                 { "allowed", "seconds, a decimal number" } });
    return;
  }
  if (!NotePause(aTarget, *time, Hash(aEntry.mSettings.mName), aNow)) {
    return;
  }
  aEntry.mMetrics.Count("target_pauses",
                        "service=\"" + aTarget.mRegistration.mService + "\"");
  LogBounded(LogClass::Failure, LogLevel::Info, "target_paused",
             { { "target", aTarget.mRegistration.mId },
               { "life", HexId(aTarget.mLife) },
               { "request", aRequest },
               { "said_ms", MillisText(*time) },
               { "for_ms", MillisText(PausedFor(aTarget, aNow)) } });
}

} // namespace

void LearnLateWords(Entry& aEntry, LiveTarget& aTarget, const Headers& aHeaders,
                    const std::string& aRequest, TimePoint aNow)
{
  const auto leaving = FindHeader(aHeaders, aEntry.mPlatform.mHeaders.mLeaving);
  if (leaving.empty() || leaving == "0" ||
      !NoteSaidLeaving(aEntry.mRegistry, aTarget, aNow)) {
    return;
  }
  aEntry.mMetrics.Count("targets_said_leaving",
                        "service=\"" + aTarget.mRegistration.mService + "\"");
  Log(LogLevel::Info, "target_said_leaving",
      { { "target", aTarget.mRegistration.mId },
        { "life", HexId(aTarget.mLife) },
        { "request", aRequest } });
}

void LearnWords(Entry& aEntry, LiveTarget& aTarget, const HttpResponse& aAnswer,
                const std::string& aRequest, TimePoint aNow)
{
  LearnLateWords(aEntry, aTarget, aAnswer.mHeaders, aRequest, aNow);
  LearnPause(aEntry, aTarget, aAnswer, aRequest, aNow);
}

} // namespace guavaline::detail
