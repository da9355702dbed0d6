#pragma once

/// Admission by latency goals where a service's targets may be short of room.
/// A response within the goal has its full value, a later one only a part of
/// it, so work that is already late must not delay work that is on time.

#include <guavaline/core/time.hpp>

#include <cstdint>

namespace guavaline {

/// The goal of one request.
struct LatencyGoal
{
  TimePoint mEnd;            ///< When its response is to be ready.
  bool mReturnsLate = false; ///< Refused before, and the goal has passed.
  std::uint32_t mRank = 0;   ///< Its priority; 0 is served first.
};

/// How a request is expected to go at one target.
struct GoalForecast
{
  Millis mWait{ 0 };
  Millis mRun{ 0 };
  Millis mRoundTrip{ 0 };
  double mFree = 0;  ///< Slots that are free now.
  double mSlots = 1; ///< Of the target.
};

/// By how much requests of a service lately took longer than forecast. Loads
/// are known with a delay: when demand rises, entries that see the same free
/// slots fill them together, and queues are longer than any entry expects.
struct ForecastError
{
  double mMs = 0;
  TimePoint mNoted{}; ///< When it was last measured.
};

/// Takes in a response.
/// @param aOver  its time at the target beyond the forecast; may be negative
void NoteError(ForecastError& aError, Millis aOver, TimePoint aNow) noexcept;

/// @returns the time to expect beyond a forecast; it fades without responses
[[nodiscard]] Millis ErrorOf(const ForecastError& aError,
                             TimePoint aNow) noexcept;

/// What a forecast means for a goal, best first.
enum class GoalFit {
  InTime = 1,
  LateAtOnce, ///< Late, but it runs without waiting.
  None,       ///< Not admitted.
};

/// @returns when the goal of a request ends
/// @param aFull   time limit with which callers of its route start
/// @param aLimit  time limit that it names
/// @param aGoal   from the caller's first attempt to the response
[[nodiscard]] TimePoint GoalEnd(TimePoint aArrived, Millis aFull, Millis aLimit,
                                Millis aGoal) noexcept;

/// @returns the longest wait that a request of this priority may use
/// @param aSpare  time up to the goal that the run and the round trip leave
[[nodiscard]] Millis LongestWait(Millis aSpare, std::uint32_t aRank) noexcept;

/// @returns whether a forecast is admitted
[[nodiscard]] GoalFit FitOf(const LatencyGoal& aGoal,
                            const GoalForecast& aForecast,
                            TimePoint aNow) noexcept;

/// @returns after what time a refused request should come again: when its wait
///          is expected to fit its goal, or else when it would run at once
[[nodiscard]] Millis RetryAfter(const LatencyGoal& aGoal,
                                const GoalForecast& aForecast,
                                TimePoint aNow) noexcept;

/// Adds the error of forecasts to a wait, and the load that causes it to the
/// target's.
/// @param aMean  mean of the service's runs of late
[[nodiscard]] GoalForecast Corrected(GoalForecast aForecast, Millis aError,
                                     Millis aMean) noexcept;

} // namespace guavaline
