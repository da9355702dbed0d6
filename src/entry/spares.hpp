#pragma once

/// Keeps connections open to targets of other regions, so that requests which
/// have to run there do not wait for a connection first: opening one takes a
/// round trip between regions, which alone may be a quarter of a latency goal.

#include <guavaline/core/time.hpp>
#include <guavaline/registry/registry.hpp>

#include <string>
#include <vector>

namespace guavaline::detail {

struct Entry;

/// @returns the targets of other regions that this entry lately sent requests
///          to and that none of its requests runs at
[[nodiscard]] std::vector<TargetPtr> FarTargetsInUse(
  const TargetRegistry& aRegistry, const std::string& aOwnRegion,
  TimePoint aNow);

/// Opens connections to some of those targets that have none that is fresh, for
/// services whose targets may be short of room.
void KeepSpareConnections(Entry& aEntry, TimePoint aNow);

} // namespace guavaline::detail
