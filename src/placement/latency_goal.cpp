#include <guavaline/placement/latency_goal.hpp>

#include <algorithm>
#include <cmath>

namespace guavaline {
namespace {

/// For the way of the response back to the caller, who may be in another
/// failure domain of the region.
constexpr Millis kReturnPath{ 20 };
/// Part of the longest wait that is left to the next lower priority.
constexpr double kRankPart = 0.6;
/// Part of a target's slots that has to be free for a request that returns
/// late.
constexpr double kFreePart = 0.25;
/// Loads are estimates with fractions. A slot counts as free where it is more
/// likely free than not.
constexpr double kLikelyFree = 0.5;
constexpr Millis kMinRetryAfter{ 100 };

/// Weight of one response in the error of forecasts, and the time in which it
/// loses half of its weight, so that targets are tried again after a burst.
constexpr double kErrorWeight = 0.1;
constexpr double kErrorHalfLifeMs = 500;

double CountOf(Millis aTime) noexcept
{
  return static_cast<double>(aTime.count());
}

Millis MillisOf(double aTime) noexcept
{
  return Millis(static_cast<std::int64_t>(aTime));
}

double PartOf(std::uint32_t aRank) noexcept
{
  return std::pow(kRankPart, aRank);
}

/// @returns the time up to the goal that the run and the round trip leave
Millis SpareOf(const LatencyGoal& aGoal, const GoalForecast& aForecast,
               TimePoint aNow) noexcept
{
  return std::chrono::floor<Millis>(aGoal.mEnd - aNow) - aForecast.mRun -
         aForecast.mRoundTrip;
}

/// @returns the slots that have to be free for a late request
double NeededFree(const LatencyGoal& aGoal, double aSlots) noexcept
{
  return aGoal.mReturnsLate ? std::max(1.0, std::ceil(aSlots * kFreePart)) : 1;
}

} // namespace

void NoteError(ForecastError& aError, Millis aOver, TimePoint aNow) noexcept
{
  const double present = CountOf(ErrorOf(aError, aNow));
  aError.mMs = present + kErrorWeight * (CountOf(aOver) - present);
  aError.mNoted = aNow;
}

Millis ErrorOf(const ForecastError& aError, TimePoint aNow) noexcept
{
  const auto age = std::chrono::duration_cast<Millis>(aNow - aError.mNoted);
  return MillisOf(
    std::max(0.0, aError.mMs * std::exp2(-CountOf(age) / kErrorHalfLifeMs)));
}

GoalForecast Corrected(GoalForecast aForecast, Millis aError,
                       Millis aMean) noexcept
{
  const double mean = std::max(1.0, CountOf(std::max(aMean, aForecast.mRun)));
  aForecast.mWait += aError;
  aForecast.mFree -= CountOf(aError) * aForecast.mSlots / mean;
  return aForecast;
}

TimePoint GoalEnd(TimePoint aArrived, Millis aFull, Millis aLimit,
                  Millis aGoal) noexcept
{
  const auto used = std::max(Millis(0), aFull - aLimit);
  return aArrived - used + aGoal - kReturnPath;
}

Millis LongestWait(Millis aSpare, std::uint32_t aRank) noexcept
{
  return MillisOf(std::max(0.0, CountOf(aSpare)) * PartOf(aRank));
}

GoalFit FitOf(const LatencyGoal& aGoal, const GoalForecast& aForecast,
              TimePoint aNow) noexcept
{
  const auto spare = SpareOf(aGoal, aForecast, aNow);
  if (spare >= Millis(0) &&
      aForecast.mWait <= LongestWait(spare, aGoal.mRank)) {
    return GoalFit::InTime;
  }
  const bool free =
    aForecast.mFree + kLikelyFree >= NeededFree(aGoal, aForecast.mSlots);
  return free ? GoalFit::LateAtOnce : GoalFit::None;
}

Millis RetryAfter(const LatencyGoal& aGoal, const GoalForecast& aForecast,
                  TimePoint aNow) noexcept
{
  const double wait = CountOf(aForecast.mWait);
  const double spare = CountOf(SpareOf(aGoal, aForecast, aNow));
  const double part = PartOf(aGoal.mRank);
  // The wait and the time left shrink alike; the priority's part of the time
  // left shrinks more slowly than the wait.
  const double fits = part < 1 ? (wait - part * spare) / (1 - part) : spare + 1;
  if (fits <= spare) {
    return std::max(kMinRetryAfter, MillisOf(fits));
  }
  const LatencyGoal late{ aGoal.mEnd, true, aGoal.mRank };
  const double missing =
    NeededFree(late, aForecast.mSlots) - 1 - std::max(0.0, aForecast.mFree - 1);
  const double more =
    std::max(0.0, missing) * CountOf(aForecast.mRun) / aForecast.mSlots;
  return std::max(kMinRetryAfter, MillisOf(wait + more));
}

} // namespace guavaline
