#pragma once

/// What the platform's pages promise, checked over the history of a soak.

#include "history/event.hpp"

#include <guavaline/core/time.hpp>

#include <string>
#include <vector>

namespace guavaline::testing {

/// Requests on the split route have this method, which tells their runs apart.
inline constexpr const char* kSplitMethod = "PUT";

/// Identities of requests that crash targets begin so.
inline constexpr const char* kCrasherName = "crasher-";

/// A time in which something was harmed.
struct Impairment
{
  std::string mWhat; ///< Name of an entry or target, StopOf, "store" or "all".
  std::int64_t mFrom = 0; ///< On the clock of histories.
  std::int64_t mTo = 0;   ///< 0 while it lasts.
};

/// @returns the name of an entry's planned stop until its next start
[[nodiscard]] std::string StopOf(const std::string& aEntry);

/// Bounds of the deployment that is played.
struct SoakBounds
{
  Millis mInTouch{ 4'000 }; ///< Calm before a moment that counts.
  Millis mDrain{ 2'500 };   ///< From a target's leaving to no new work.
  Millis mRouting{ 2'500 }; ///< From a configuration to its effect.
  Millis mRecover{ 15'000 };
  double mServedAfterwards = 0.25;
  std::size_t mSplitRequests = 200; ///< Over which weights must hold.
  double mMaxOffWeight = 0.2;
  /// Rate limits bind this long after they are named, for entries that know of
  /// them for a while, within each window.
  Millis mLimitBinds{ 4'000 };
  Millis mLimitKnown{ 500 };
  Millis mLimitWindow{ 4'000 };
  double mLimitOver = 1.5; ///< Factor on the limit, ...
  double mLimitSlack = 5;  ///< ... and requests on top of it.
  /// Runs of a request that crashes targets, from the calm time after its
  /// third.
  std::size_t mCrashersLate = 3;
};

/// Everything a soak saw.
struct SoakHistory
{
  std::vector<Event> mEvents; ///< Ordered by time.
  std::vector<Impairment> mImpairments;
  SoakBounds mBounds;
  std::int64_t mCalmFrom = 0; ///< When the last impairment had ended.
};

/// @returns true where nothing that is named was harmed from the calm time
///          before a moment until its end
[[nodiscard]] bool IsInTouch(const SoakHistory& aHistory,
                             const std::vector<std::string>& aNames,
                             std::int64_t aFrom, std::int64_t aTo);

/// @returns true where nothing at all was harmed in that time
[[nodiscard]] bool IsCalm(const SoakHistory& aHistory, std::int64_t aFrom,
                          std::int64_t aTo);

/// @returns one line for each broken promise
[[nodiscard]] std::vector<std::string> CheckSoak(const SoakHistory& aHistory);

} // namespace guavaline::testing
