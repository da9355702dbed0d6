#pragma once

/// Rate limits that targets name in their answers: what an entry learns of
/// them and writes to its log.

#include "http/message.hpp"

#include <guavaline/registry/registry.hpp>

namespace guavaline::detail {

struct Entry;

/// Takes in whether an answer names a rate limit.
/// @param aSent  when the request was sent
void LearnLimit(Entry& aEntry, LiveTarget& aTarget, const HttpResponse& aAnswer,
                TimePoint aSent, TimePoint aNow);

/// Counts a request that is sent to a target.
void NoteLimitedSend(Entry& aEntry, LiveTarget& aTarget);

/// Writes a line for each target that names a limit, and how many requests
/// this entry sent it since the last one.
void LogLimits(Entry& aEntry, TimePoint aNow);

} // namespace guavaline::detail
