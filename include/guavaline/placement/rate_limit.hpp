#pragma once

/// The rate limit that a target in need names in its answers: how many requests
/// a second it takes from all entries together, for as long as it says so.

#include <guavaline/core/time.hpp>

#include <cstdint>
#include <optional>

namespace guavaline {

/// What a target said of the requests that it takes.
struct LimitStatement
{
  /// From all entries together; nothing where it takes all that come.
  std::optional<double> mPerSecond;
  TimePoint mStated{}; ///< When it said so.
};

struct RateLimit
{
  LimitStatement mStatement;
  std::uint32_t mSent = 0; ///< Requests under the limit since the last log.
};

/// What a statement changed.
enum class LimitChange {
  None = 1,
  Named,   ///< A target without a limit names one.
  Changed, ///< It names another one.
  Ended,   ///< It names none any more.
};

/// Takes in what an answer to this entry says. An answer to a request that was
/// sent before a limit was named does not end it: the two may have crossed.
/// @param aSent  when the request was sent
LimitChange TakeAnswer(RateLimit& aLimit, std::optional<double> aPerSecond,
                       TimePoint aSent, TimePoint aNow) noexcept;

} // namespace guavaline
