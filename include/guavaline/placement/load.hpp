#pragma once

/// What an entry knows of a target's load and speed, from its own requests
/// and from what answers report.

#include <guavaline/core/time.hpp>

#include <cstdint>
#include <optional>

namespace guavaline {

/// Load of one target as one entry sees it.
struct TargetLoad
{
  std::uint32_t mOwn = 0; ///< Own requests in flight.
  /// Requests of other entries: the last report, and their average.
  double mOthers = 0;
  double mOthersMean = 0;
  TimePoint mReported{};
  double mSlowness = 1;  ///< Measured over expected time.
  TimePoint mMeasured{}; ///< When mSlowness last changed.
  double mFailing = 0;   ///< Part of the late exchanges that failed, 0 to 1.
  std::uint32_t mFailures = 0; ///< Failures to connect or answer in a row.
  TimePoint mEjectedUntil{};
  TimePoint mLastSend{}; ///< When the last request went to it.
};

/// Load that an answer reports.
struct ReportedLoad
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;
  /// How long runs take on the target's host at present, in percent of the
  /// usual; nothing where the target does not say.
  std::optional<std::uint32_t> mRunPercent = std::nullopt;
};

/// Takes in a report.
/// @param aOwn  own requests in flight without the one that was answered
void NoteReport(TargetLoad& aLoad, const ReportedLoad& aReport,
                std::uint32_t aOwn, TimePoint aNow) noexcept;

/// @returns the expected requests at the target, all entries together
[[nodiscard]] double ExpectedLoad(const TargetLoad& aLoad,
                                  TimePoint aNow) noexcept;

/// Notes a whole answer.
/// @param aTook      the time at the target
/// @param aExpected  the time that was expected
void NoteAnswer(TargetLoad& aLoad, Millis aTook, Millis aExpected,
                TimePoint aNow) noexcept;

/// Notes an exchange that failed at the target without an answer, or with a
/// failure of its own while others are served.
void NoteFailed(TargetLoad& aLoad, TimePoint aNow) noexcept;

/// Notes that the target could not be reached, or that its connection broke;
/// it gets no work for a while, longer each time in a row.
void NoteUnreachable(TargetLoad& aLoad, TimePoint aNow) noexcept;

/// @returns how much slower the target is than expected; fades to 1
[[nodiscard]] double Slowness(const TargetLoad& aLoad, TimePoint aNow) noexcept;

} // namespace guavaline
