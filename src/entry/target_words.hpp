#pragma once

/// What targets say of themselves in answers, besides the answer: that they
/// leave, or want nothing for a while.

#include "entry/entry.hpp"

namespace guavaline::detail {

/// Learns from an answer, whatever it answers.
/// @param aRequest  id of the request, for the log
void LearnWords(Entry& aEntry, LiveTarget& aTarget, const HttpResponse& aAnswer,
                const std::string& aRequest, TimePoint aNow);

/// Learns from the head of a late answer to an earlier request.
void LearnLateWords(Entry& aEntry, LiveTarget& aTarget, const Headers& aHeaders,
                    const std::string& aRequest, TimePoint aNow);

} // namespace guavaline::detail
