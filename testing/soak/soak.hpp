#pragma once

/// A randomized soak of the real programs: impairments from outside, in
/// series and overlapping, drawn from a seed.

#include "soak/world.hpp"

namespace guavaline::testing {

struct SoakOptions
{
  WorldOptions mWorld;
  Millis mTrouble{ 12'000 }; ///< How long impairments begin.
  Millis mCalm{ 17'000 };    ///< Afterwards; longer than the time to recover.
  std::size_t mCallers = 12;
  double mPerSecond = 120;
  std::string mHistoryPath; ///< Where to write the history; empty for nowhere.
};

struct SoakVerdict
{
  std::string mProblem; ///< Set where the soak could not be played.
  std::vector<std::string> mBroken;
  std::size_t mSent = 0;
  std::size_t mServed = 0;
  std::size_t mRefused = 0;
  std::size_t mOther = 0; ///< Failed, or answered with a failure.
  std::size_t mImpairments = 0;
};

[[nodiscard]] SoakVerdict PlaySoak(const SoakOptions& aOptions);

} // namespace guavaline::testing
