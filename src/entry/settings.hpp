#pragma once

/// What an entry host is told about itself and its surroundings.

#include "http/client.hpp"

#include <guavaline/registry/registry.hpp>

#include <cstdint>
#include <string>

namespace guavaline::detail {

/// Times and limits that the deployment promises to keep.
struct EntryBounds
{
  Millis mStopTime{ 6'000 }; ///< From SIGTERM until the process is killed.
  Millis mLookupTtlMost{ 5'000 };
  Millis mRoutingAge{ 2'500 };    ///< From a change until it is in force.
  Millis mTargetAge{ 2'500 };     ///< From a target's leaving to no new work.
  Millis mEvacuationAge{ 5'000 }; ///< The same for a failure domain.
  double mRetryRatio = 0.2; ///< Retries to requests, all entries together.
  double mRetrySlack = 64;  ///< Retries on top of it, all entries together.
  double mColdOver = 1.5;   ///< Factor on a cold target's rate, ...
  double mColdSlack = 5;    ///< ... and requests a second on top of it.
  double mMaxShift = 0.15;  ///< Requests that may change region in 2 s.
  Millis mUnrest{ 4'000 };  ///< After a disturbance; bounds hold in calm.
  /// Window in which the requests of a client account are counted against its
  /// limit, and what they may exceed it by.
  Millis mAccountWindow{ 5'000 };
  double mAccountOver = 0.1; ///< Part of the limit, ...
  double mAccountSlack = 20; ///< ... and requests on top of it.

  bool operator==(const EntryBounds&) const = default;
};

/// Limits of the process.
struct EntryLimits
{
  std::uint32_t mMaxDescriptors = 4'096;
  std::uint32_t mMemoryMb = 256;
  double mCores = 1;          ///< Of the host that the process may use.
  double mLinkMegabits = 100; ///< Of the host's link, a second.

  bool operator==(const EntryLimits&) const = default;
};

struct EntrySettings
{
  std::string mName;
  std::string mFailureDomain;
  std::string mRegion;
  DomainMap mDomains;   ///< All failure domains and their regions.
  std::string mAddress; ///< IP number of the host.
  Endpoint mCallers;    ///< Serves callers' requests.
  Endpoint mReady;      ///< Tells whether the entry is ready.
  Endpoint mLookups;    ///< Answers look-ups.
  Endpoint mMetrics;    ///< Serves metrics; port 0 for none.
  Endpoint mPeers;      ///< Other entries' calls; port 0 for any free one.
  Endpoint mStore;
  EntryBounds mBounds;
  EntryLimits mLimits;
};

} // namespace guavaline::detail
