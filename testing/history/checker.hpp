#pragma once

/// Checks what must always hold over the events of a run.

#include "history/event.hpp"

#include <guavaline/configuration/model.hpp>

namespace guavaline::testing {

struct CheckOptions
{
  Configuration mConfiguration;
  /// A leaving target may get new work for this long.
  Millis mLeavingGrace{ 3'000 };
  /// Window of the shift check, and the noise allowed for random arrivals;
  /// 0 leaves the check out.
  Millis mShiftWindow{ 0 };
  double mShiftNoise = 0;
};

/// Orders events by time.
void SortEvents(std::vector<Event>& aEvents);

/// Finds every violation.
/// @param aEvents  ordered by time
/// @returns one line for each; empty where all holds
[[nodiscard]] std::vector<std::string> CheckHistory(
  const std::vector<Event>& aEvents, const CheckOptions& aOptions);

/// Runs per identity of a class that must not run twice.
[[nodiscard]] std::vector<std::string> CheckAtMostOnce(
  const std::vector<Event>& aEvents);

/// Refusals that say "not run" of what had run.
[[nodiscard]] std::vector<std::string> CheckTruth(
  const std::vector<Event>& aEvents);

/// Answers that belong to another request or body.
[[nodiscard]] std::vector<std::string> CheckOwnAnswers(
  const std::vector<Event>& aEvents);

/// Work in flight over the slots of targets and regions.
[[nodiscard]] std::vector<std::string> CheckCapacity(
  const std::vector<Event>& aEvents, const Configuration& aConfiguration);

/// New work to targets that announced that they leave.
[[nodiscard]] std::vector<std::string> CheckLeaving(
  const std::vector<Event>& aEvents, Millis aGrace);

/// Shares of a service's runs by region, between windows that the load covers
/// whole.
[[nodiscard]] std::vector<std::string> CheckShift(
  const std::vector<Event>& aEvents, const CheckOptions& aOptions);

/// Versions in force that went back.
[[nodiscard]] std::vector<std::string> CheckVersions(
  const std::vector<Event>& aEvents);

} // namespace guavaline::testing
