#pragma once

/// Rate limits that targets name in their answers: what an entry learns of
/// them from answers and from other entries, and its part of each.

#include "http/message.hpp"

#include <guavaline/registry/registry.hpp>

#include <optional>
#include <string>
#include <vector>

namespace guavaline::detail {

struct Entry;

/// What a target last said of its limit, for other entries.
struct LimitNews
{
  std::string mTarget;
  std::int64_t mStarted = 0;        ///< Tells the target's lives apart.
  std::optional<double> mPerSecond; ///< Nothing where its limit ended.
  Millis mAge{ 0 };
};

/// @returns what targets told this entry of their limits: those that ended
///          first, then the newest, as many as a heartbeat carries
[[nodiscard]] std::vector<LimitNews> TellLimits(const Entry& aEntry,
                                                TimePoint aNow);

/// Takes in what targets told another entry.
void HearLimits(Entry& aEntry, const std::vector<LimitNews>& aNews,
                TimePoint aNow);

/// Sets this entry's part of all limits anew, as entries come and go.
void ShareLimits(Entry& aEntry, TimePoint aNow);

/// Takes in whether an answer names a rate limit.
/// @param aSent  when the request was sent
void LearnLimit(Entry& aEntry, LiveTarget& aTarget, const HttpResponse& aAnswer,
                TimePoint aSent, TimePoint aNow);

/// Notes a request that is sent to a target.
void NoteLimitedSend(Entry& aEntry, LiveTarget& aTarget, TimePoint aNow);

/// Writes a line for each target that names a limit, and how many requests
/// this entry sent it since the last one.
void LogLimits(Entry& aEntry, TimePoint aNow);

} // namespace guavaline::detail
