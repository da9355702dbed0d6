#pragma once

/// Counts how the requests of split routes fall to their services: those that
/// were picked for each, and those of them that were refused unsent.

#include <guavaline/routing/routes.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace guavaline::detail {

struct Entry;
struct RequestState;

/// Requests of one split route for one of its services.
struct PartRequests
{
  std::uint64_t mPicked = 0;
  std::uint64_t mUnsent = 0; ///< Ended without being sent to a target.
};

/// By service.
using SplitRequests = std::map<std::string, PartRequests>;

/// Notes that a request was assigned to a service of its route.
void NotePicked(Entry& aEntry, const RequestState& aState);

/// Notes the end of a request that was assigned to a service.
void NoteSplitEnd(Entry& aEntry, const RequestState& aState);

/// Writes a line for each split route that had requests since the last one.
void LogSplits(Entry& aEntry);

} // namespace guavaline::detail
