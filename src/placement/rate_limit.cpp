#include <guavaline/placement/rate_limit.hpp>

#include <algorithm>
#include <cmath>

namespace guavaline {
namespace {

/// Requests that all entries together may send at once, besides those of one
/// second. The platform's pages allow one and a half times the limit, and five
/// requests, in four seconds; a full burst and four seconds of the rate are
/// less than that.
constexpr double kBurst = 4;
/// Each entry that shares a limit may send at least this much, since only an
/// answer tells that it has ended.
constexpr double kMinPerSecond = 0.1;
/// A limit that nothing was heard of for this long may have ended.
constexpr Millis kConfirmedFor{ 10'000 };
/// An entry that does not share a limit hears of its end from those that do.
/// Where it hears nothing it asks by a request of its own, after this silence
/// and later by its rank, so that few ask at once.
constexpr Millis kProbeAfter{ 30'000 };
constexpr Millis kProbeAfterPerRank{ 5'000 };
/// How long other entries are told that a limit has ended.
constexpr Millis kAnnounceEndFor{ 10'000 };

/// @returns the tokens of all entries together
double BurstOf(double aPerSecond) noexcept
{
  return kBurst + aPerSecond;
}

LimitChange Replace(RateLimit& aLimit, const LimitStatement& aNew,
                    TimePoint aNow) noexcept
{
  auto& old = aLimit.mStatement;
  const bool same = old.mPerSecond == aNew.mPerSecond;
  auto out = LimitChange::None;
  if (!same && !aNew.mPerSecond) {
    out = LimitChange::Ended;
    aLimit.mEnded = aNew.mStated;
  } else if (!same && !old.mPerSecond) {
    out = LimitChange::Named;
    aLimit.mTokens = BurstOf(*aNew.mPerSecond);
    aLimit.mFilled = aNow;
  } else if (!same) {
    out = LimitChange::Changed;
    SetShare(aLimit, aLimit.mShare, aNow);
  }
  old = aNew;
  return out;
}

bool IsSharer(const RateLimit& aLimit) noexcept
{
  return aLimit.mShare.mRank < aLimit.mShare.mSharing;
}

/// @returns this entry's part of the limit, requests a second
double PartOf(const RateLimit& aLimit) noexcept
{
  return std::max(aLimit.mStatement.mPerSecond.value_or(0) /
                    static_cast<double>(aLimit.mShare.mSharing),
                  kMinPerSecond);
}

double TokensAt(const RateLimit& aLimit, TimePoint aNow) noexcept
{
  if (!aLimit.mStatement.mPerSecond || !IsSharer(aLimit)) {
    return aLimit.mTokens;
  }
  const double most = BurstOf(*aLimit.mStatement.mPerSecond) /
                      static_cast<double>(aLimit.mShare.mSharing);
  const std::chrono::duration<double> gap = aNow - aLimit.mFilled;
  return std::min(std::max(1.0, most),
                  aLimit.mTokens + gap.count() * PartOf(aLimit));
}

} // namespace

LimitChange TakeAnswer(RateLimit& aLimit, std::optional<double> aPerSecond,
                       TimePoint aSent, TimePoint aNow) noexcept
{
  const auto& statement = aLimit.mStatement;
  if (!aPerSecond && statement.mPerSecond && aSent < statement.mStated) {
    return LimitChange::None;
  }
  return Replace(aLimit, { aPerSecond, aNow, true }, aNow);
}

LimitChange TakeNews(RateLimit& aLimit, std::optional<double> aPerSecond,
                     TimePoint aStated, TimePoint aNow) noexcept
{
  if (aStated <= aLimit.mStatement.mStated) {
    return LimitChange::None;
  }
  return Replace(aLimit, { aPerSecond, aStated, false }, aNow);
}

bool ShouldAnnounce(const RateLimit& aLimit, TimePoint aNow) noexcept
{
  const auto& statement = aLimit.mStatement;
  const bool ended =
    aLimit.mEnded != TimePoint{} && aNow - aLimit.mEnded <= kAnnounceEndFor;
  return statement.mFirstHand && (statement.mPerSecond || ended);
}

std::size_t MaxSharing(double aPerSecond) noexcept
{
  constexpr double kMost = 1'000;
  return static_cast<std::size_t>(std::min(BurstOf(aPerSecond), kMost));
}

void SetShare(RateLimit& aLimit, const LimitShare& aShare,
              TimePoint aNow) noexcept
{
  aLimit.mTokens = TokensAt(aLimit, aNow);
  aLimit.mFilled = aNow;
  aLimit.mShare = aShare;
}

Millis LimitedFor(const RateLimit& aLimit, TimePoint aLastSend,
                  TimePoint aNow) noexcept
{
  if (!aLimit.mStatement.mPerSecond) {
    return Millis(0);
  }
  if (!IsSharer(aLimit)) {
    const auto heard = std::max(aLastSend, aLimit.mStatement.mStated);
    const auto rank = static_cast<Millis::rep>(aLimit.mShare.mRank);
    const auto asks = heard + kProbeAfter + kProbeAfterPerRank * rank;
    return std::max(Millis(0), std::chrono::ceil<Millis>(asks - aNow));
  }
  const std::chrono::duration<double> wait(
    std::max(0.0, 1 - TokensAt(aLimit, aNow)) / PartOf(aLimit));
  return std::chrono::ceil<Millis>(wait);
}

bool MayHaveEnded(const RateLimit& aLimit, TimePoint aLastSend,
                  TimePoint aNow) noexcept
{
  const auto& statement = aLimit.mStatement;
  return statement.mPerSecond &&
         aNow - std::max(aLastSend, statement.mStated) > kConfirmedFor;
}

void NoteSend(RateLimit& aLimit, TimePoint aNow) noexcept
{
  if (!aLimit.mStatement.mPerSecond) {
    return;
  }
  SetShare(aLimit, aLimit.mShare, aNow);
  aLimit.mTokens = std::max(0.0, aLimit.mTokens - 1);
  ++aLimit.mSent;
}

} // namespace guavaline
