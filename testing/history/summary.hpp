#pragma once

/// What a run came to, for people.

#include "history/event.hpp"

#include <map>

namespace guavaline::testing {

/// Calls of one service and class.
struct ClassSummary
{
  std::uint64_t mCalls = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  double mP50Ms = 0;
  double mP99Ms = 0;
  double mMaxMs = 0;
};

/// A region of one service.
struct RegionSummary
{
  std::uint64_t mRuns = 0;
  std::uint64_t mSheds = 0;
  std::int64_t mPeak = 0;  ///< Most requests in flight at its targets.
  std::int64_t mSlots = 0; ///< Slots of the targets that ran something.
};

struct Summary
{
  std::map<std::string, ClassSummary> mClasses;  ///< By "service/class".
  std::map<std::string, RegionSummary> mRegions; ///< By "service/region".
  /// Attempts without a target's answer, by class, "ran" and reason.
  std::map<std::string, std::uint64_t> mRefusals;
};

[[nodiscard]] Summary Summarize(const std::vector<Event>& aEvents);

/// @returns two tables as text
[[nodiscard]] std::string ToText(const Summary& aSummary);

} // namespace guavaline::testing
