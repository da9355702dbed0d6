#pragma once

/// Load of targets as the entries of a region know it together. Each entry
/// sends the others its requests in flight and the reports that it got, so that
/// an estimate is as old as the last message, not as the last own answer.

#include <guavaline/placement/load.hpp>

namespace guavaline {

/// How long figures of another entry and reports count.
inline constexpr Millis kLoadsFresh{ 1'000 };

/// @returns a reported run percent; nothing where it is absent or not credible
[[nodiscard]] std::optional<std::uint32_t> UsablePercent(
  std::optional<std::uint32_t> aPercent) noexcept;

/// @returns what a time at a target would be at its host's usual speed
[[nodiscard]] Millis AtUsualSpeed(
  Millis aTook, std::optional<std::uint32_t> aPercent) noexcept;

/// @returns an expected time without the factor that the host's speed made
[[nodiscard]] Millis WithoutFactor(Millis aExpected, double aFactor) noexcept;

/// Takes in a report from an own answer.
/// @param aOwn  own requests in flight without the one that was answered
void NoteSharedReport(TargetLoad& aLoad, const ReportedLoad& aReport,
                      std::uint32_t aOwn, TimePoint aNow) noexcept;

/// Takes in a report that another entry of the region got.
void HearReport(TargetLoad& aLoad, std::uint64_t aEntry,
                const LoadReport& aReport, TimePoint aNow) noexcept;

/// Takes in how many requests another entry of the region has in flight.
void HearFlights(TargetLoad& aLoad, std::uint64_t aEntry,
                 std::uint32_t aInFlight, TimePoint aNow);

/// @returns the expected requests at the target, all entries together; by
///          ExpectedLoad where neither other entries nor reports were heard
///          within kLoadsFresh
/// @param aHeard  when another entry last sent figures on any target
[[nodiscard]] double SharedExpectedLoad(const TargetLoad& aLoad,
                                        TimePoint aHeard,
                                        TimePoint aNow) noexcept;

/// @returns how long runs take at present over the usual; fades to 1 with the
///          age of the report
[[nodiscard]] double RunFactor(const TargetLoad& aLoad,
                               TimePoint aNow) noexcept;

/// @returns true where other entries should be told of the target
[[nodiscard]] bool HasLoadNews(const TargetLoad& aLoad,
                               TimePoint aNow) noexcept;

/// @returns true where a report came since other entries were last told
[[nodiscard]] bool HasNewReport(const TargetLoad& aLoad) noexcept;

/// Notes that other entries are told now.
void MarkTold(TargetLoad& aLoad, TimePoint aNow) noexcept;

} // namespace guavaline
