#pragma once

/// Experiments on decisions: the decision slices in a loop with a hand-turned
/// clock. Arrivals, service times and the way to a peer are drawn; there is
/// no network and no process.

#include <guavaline/configuration/model.hpp>

#include <string>
#include <vector>

namespace guavaline::testing {

/// How an entry finds a slot for a request.
enum class Policy {
  OwnedAndLoans = 1, ///< Own slots, and loans from peers when they are short.
  OwnedOnly,         ///< Own slots alone.
  RoundRobin,        ///< Baseline: targets in turn, whoever else uses them.
  RandomTarget,      ///< Baseline: any target.
  TwoChoices,        ///< Baseline: the less used by own count of two.
  LeastInFlight,     ///< Baseline: the least used by own count.
  Central,           ///< Bound: every target's true state is known.
};

/// One cell of the matrix.
struct ExperimentCell
{
  Policy mPolicy = Policy::OwnedAndLoans;
  double mUtilization = 0.5; ///< Expected slots in use over all slots.
  double mSkew = 0; ///< Part of all callers that use one entry, 0 for even.
  double mSlowTargets = 0; ///< Part of the targets that are slow ...
  double mSlowFactor = 10; ///< ... by this factor.
  double mMeanMs = 20;
  Millis mPeerWay{ 5 }; ///< One way to a peer.
  Millis mDeadline{ 2'000 };
  Seconds mTime{ 60 };
  std::uint64_t mSeed = 1;
};

/// What came of a cell.
struct ExperimentResult
{
  std::uint64_t mCalls = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mRefused = 0; ///< Not run, for want of a slot in time.
  std::uint64_t mSheds = 0;   ///< Sent to a target without a free slot.
  double mPeakOverSlots = 0;  ///< Most sent to the region over its slots.
  double mP50Ms = 0;
  double mP99Ms = 0;
};

/// Runs one cell on the first region of a service.
[[nodiscard]] ExperimentResult RunCell(const Configuration& aConfiguration,
                                       const Service& aService,
                                       const ExperimentCell& aCell);

/// @returns the policy's name
[[nodiscard]] std::string PolicyName(Policy aPolicy);

} // namespace guavaline::testing
