#pragma once

/// What an entry knows of each target, and the choice among them.

#include <guavaline/admission/slots.hpp>
#include <guavaline/configuration/model.hpp>
#include <guavaline/core/time.hpp>
#include <guavaline/crashes/run_watch.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace guavaline {

/// State of one target, mostly from this entry's own exchanges.
struct TargetHealth
{
  bool mReachable = true;       ///< The last probe or connection worked.
  bool mLeaving = false;        ///< Its health endpoint says that it will stop.
  bool mSaidLeaving = false;    ///< Its answers said so, in this life of it.
  bool mDrained = false;        ///< A planned drain of its place is in force.
  double mLatencyMs = 0;        ///< Moving average; 0 while not known.
  std::uint32_t mFailures = 0;  ///< Failed exchanges in a row.
  std::uint32_t mEjections = 0; ///< Ejections since it last worked.
  TimePoint mEjectedUntil{};
  TimePoint mMeasured{}; ///< Time of the last exchange.
  RunWatch mRuns;
};

/// Notes a whole answer.
void NoteSuccess(TargetHealth& aHealth, Millis aLatency,
                 TimePoint aNow) noexcept;

/// Notes an exchange that failed; several in a row eject the target.
void NoteFailure(TargetHealth& aHealth, TimePoint aNow) noexcept;

/// Notes that an answer said that the target is about to stop. A health
/// endpoint that lags does not take it back; a restart does.
void NoteSaidLeaving(TargetHealth& aHealth) noexcept;

/// Notes the result of a probe of the health endpoint. It says nothing of the
/// latency, whose measurement goes on fading.
void NoteProbe(TargetHealth& aHealth, bool aReachable, bool aLeaving) noexcept;

/// @returns true where new work may go to the target
[[nodiscard]] bool IsEligible(const TargetHealth& aHealth,
                              TimePoint aNow) noexcept;

/// Finds the targets of a region that get new work. Where failures ejected
/// more than half of the reachable ones, ejection is disregarded.
[[nodiscard]] std::vector<std::uint32_t> EligibleTargets(
  const Service& aService, const std::string& aRegion,
  const std::vector<TargetHealth>& aHealth, TimePoint aNow);

/// Finds the targets of a region that should get no new work now: those that
/// are not eligible, and those that are far slower than the rest.
[[nodiscard]] std::vector<std::uint32_t> AvoidedTargets(
  const Service& aService, const std::string& aRegion,
  const std::vector<TargetHealth>& aHealth, TimePoint aNow);

/// A source of uniformly spread numbers.
using RandomSource = std::function<std::uint64_t()>;

/// Inputs to a choice of target.
struct TargetQuery
{
  const Service& mService;
  const std::string& mRegion;
  TimePoint mNow;
  TimePoint mUntil; ///< By when the work ends.
  /// Targets that must not be chosen, by index.
  std::vector<std::uint32_t> mExcluded;
};

/// Chooses the target with the least expected latency among those with a
/// free slot.
/// @returns nothing where no eligible target has a free slot
[[nodiscard]] std::optional<std::uint32_t> ChooseTarget(
  const TargetQuery& aQuery, const SlotTable& aSlots,
  const std::vector<TargetHealth>& aHealth, const RandomSource& aRandom);

} // namespace guavaline
