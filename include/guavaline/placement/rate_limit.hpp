#pragma once

/// The rate limit that a target in need names in its answers: how many requests
/// a second it takes from all entries together, for as long as it says so. Few
/// entries share a limit; each sends its part of it, from a token bucket, and
/// all others send the target nothing until the limit ends.

#include <guavaline/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace guavaline {

/// What a target said of the requests that it takes.
struct LimitStatement
{
  /// From all entries together; nothing where it takes all that come.
  std::optional<double> mPerSecond;
  TimePoint mStated{};     ///< When it said so, to this entry or another.
  bool mFirstHand = false; ///< It said so to this entry.
};

/// How entries share a target's limit. All agree on an order of the entries;
/// the first ones of it share the limit.
struct LimitShare
{
  std::size_t mSharing = 0; ///< Entries that share it.
  std::size_t mRank = 0;    ///< Of this entry in the order, from 0.
};

/// The limit of one target as one entry sees it.
struct RateLimit
{
  LimitStatement mStatement;
  TimePoint mEnded{}; ///< When a limit last ended.
  LimitShare mShare;
  double mTokens = 0; ///< Requests that this entry may send at mFilled.
  TimePoint mFilled{};
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

/// Takes in what a target said to another entry, where that is news.
/// @param aStated  when it said so
LimitChange TakeNews(RateLimit& aLimit, std::optional<double> aPerSecond,
                     TimePoint aStated, TimePoint aNow) noexcept;

/// @returns true where other entries are to be told what the target last said
///          to this one: a limit while it holds, and for a while that it ended
[[nodiscard]] bool ShouldAnnounce(const RateLimit& aLimit,
                                  TimePoint aNow) noexcept;

/// @returns how many entries may share a limit, so that all their tokens
///          together stay a small burst
[[nodiscard]] std::size_t MaxSharing(double aPerSecond) noexcept;

/// Sets this entry's part of the limit.
void SetShare(RateLimit& aLimit, const LimitShare& aShare,
              TimePoint aNow) noexcept;

/// @returns how long the target takes no further request of this entry
/// @param aLastSend  when this entry last sent it one
[[nodiscard]] Millis LimitedFor(const RateLimit& aLimit, TimePoint aLastSend,
                                TimePoint aNow) noexcept;

/// @returns true where nothing was heard of a limit for so long that it may
///          have ended: the target is to be chosen as if it named none, as far
///          as its limit goes, so that an answer tells
/// @param aLastSend  when this entry last sent the target a request
[[nodiscard]] bool MayHaveEnded(const RateLimit& aLimit, TimePoint aLastSend,
                                TimePoint aNow) noexcept;

/// Takes a token for a request that is sent.
void NoteSend(RateLimit& aLimit, TimePoint aNow) noexcept;

} // namespace guavaline
