#pragma once

/// How fast a new configuration spreads by heartbeats: the membership
/// slice's own decisions for many entries in one loop.

#include <cstdint>
#include <iosfwd>

namespace guavaline::testing {

struct SpreadQuery
{
  std::size_t mEntries = 12;
  std::size_t mStart = 1; ///< Entries that have it at first.
  double mDead = 0;       ///< Part of the entries that does not answer.
  std::uint64_t mSeed = 1;
};

struct SpreadResult
{
  std::size_t mPeriods = 0; ///< Until every live entry has it.
  double mSeconds = 0;
  double mHeartbeatBytes = 0;  ///< Mean size of one message.
  double mBytesPerSecond = 0;  ///< Sent by one entry.
  double mMicrosPerPeriod = 0; ///< Processor time of one entry's period.
  double mViewBytes = 0;       ///< Memory of one entry's view.
};

[[nodiscard]] SpreadResult RunSpread(const SpreadQuery& aQuery);

/// Runs several sizes and writes a table.
void ShowSpread(std::ostream& aOut);

} // namespace guavaline::testing
