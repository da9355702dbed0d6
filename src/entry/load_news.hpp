#pragma once

/// Exchange of targets' loads between the entries of a region.

#include <guavaline/registry/registry.hpp>

#include <unordered_map>

namespace guavaline::detail {

struct Entry;

/// State of the exchange at one entry.
struct LoadExchange
{
  TimePoint mHeard{}; ///< When another entry last sent its figures.
  /// Targets by the number that messages use, as the registry was when
  /// mIndexed.
  std::unordered_map<std::uint64_t, TargetPtr> mTargets;
  TimePoint mIndexed{};
};

/// Sends the serving entries of the region what has changed at the targets of
/// contended services.
void PushLoadNews(Entry& aEntry, TimePoint aNow);

/// Writes a line on the loads of each contended service.
void LogLoads(const Entry& aEntry, TimePoint aNow);

} // namespace guavaline::detail
