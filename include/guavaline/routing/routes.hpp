#pragma once

/// Which service answers a request: routes by host name and path prefix, and
/// the split of a route between services.

#include <guavaline/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavaline {

/// What may be repeated, and how large bodies are.
enum class RequestKind {
  Idempotent = 1,
  NonIdempotent,
  Upload, ///< Non-idempotent with a large body.
};

/// One part of a split route.
struct WeightedService
{
  std::string mService;
  double mWeight = 1;

  bool operator==(const WeightedService&) const = default;
};

/// Where requests of one host name and path prefix go.
struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix; ///< Begins and ends with a slash.
  RequestKind mKind = RequestKind::NonIdempotent;
  Millis mTimeout{ 0 };        ///< Longest wait for an answer; 0 for none.
  Millis mLatencyGoal{ 0 };    ///< An answer within it has its full value.
  std::uint32_t mPriority = 0; ///< 0 is served first under shortage.
  std::vector<WeightedService> mServices;
  std::uint32_t mMaxTargets = 1;     ///< Targets that one attempt may reach.
  bool mAffinity = false;            ///< Targets keep state of an object warm.
  std::vector<std::string> mRegions; ///< Allowed regions; empty for all.
  bool mPublic = false;              ///< Callers need no key.
};

/// A client account: who calls, with which keys and how much.
struct ClientAccount
{
  std::string mName;
  std::vector<std::string> mKeys;
  std::optional<std::uint32_t> mPriority; ///< Goes before the route's.
  double mPerSecond = 0; ///< Requests over all entries; 0 for no limit.
  double mBurst = 0;     ///< Requests on top of the rate.
  std::vector<std::string> mRegions; ///< Allowed regions; empty for all.
};

/// What holds for all targets of a service.
struct ServicePolicy
{
  std::uint32_t mMaxConnections = 0; ///< Of one target, from all callers.
  double mColdRate = 0;              ///< Requests a second a cold target bears.
};

/// Bounds on what callers may send.
struct CallerLimits
{
  std::uint32_t mMaxHeaderBytes = 16'384;
  std::uint64_t mMaxBodyBytes = 64ULL << 20U;
  Millis mHeaderTimeout{ 3'000 };
  Millis mIdleTimeout{ 15'000 };
};

/// One accepted configuration.
struct RoutingTable
{
  std::uint64_t mVersion = 0; ///< 0 where none is held.
  std::vector<Route> mRoutes;
  std::map<std::string, ServicePolicy> mServices;
  std::map<std::string, ClientAccount> mAccounts; ///< By name.
  CallerLimits mLimits;
};

/// @returns the route with the longest matching prefix, or null
[[nodiscard]] const Route* MatchRoute(const RoutingTable& aTable,
                                      std::string_view aHost,
                                      std::string_view aPath) noexcept;

/// How one entry has spread the requests of a split route over its parts.
struct SplitTally
{
  std::vector<WeightedService> mParts; ///< The split that it counts for.
  std::vector<double> mAhead; ///< By part: requests beyond its weight so far.
};

/// Picks the part of a route that serves an object. An object keeps its part,
/// so that one service holds it warm, as far as the weights allow: they hold
/// for the requests of all entries together, also while each has few. A tally
/// of another split than the route's starts anew.
/// @param aKey      hash of the object
/// @param aEntries  entries that share the route's requests
/// @param aRandom   where in the cycle of parts a new tally starts
[[nodiscard]] const std::string& PickService(const Route& aRoute,
                                             std::uint64_t aKey,
                                             SplitTally& aTally,
                                             std::size_t aEntries,
                                             std::uint64_t aRandom);

} // namespace guavaline
