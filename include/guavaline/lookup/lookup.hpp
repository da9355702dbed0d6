#pragma once

/// Which entries a caller is told to use.

#include <guavaline/configuration/model.hpp>
#include <guavaline/core/time.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace guavaline {

/// Tells whether an entry may be named to callers.
using EntryFilter = std::function<bool(const EntryHost&)>;

/// Ranks entries for a caller: the nearest region first, spread over its
/// entries by the caller's hash, and each next one in another failure domain
/// where there is one.
/// @param aPlace   region of the caller; unknown places get any region
/// @param aCaller  hash that is steady for one caller
/// @param aUsable  entries that may be named
/// @param aMost    the longest list
/// @returns entry indices, best first
[[nodiscard]] std::vector<std::size_t> RankEntries(
  const Configuration& aConfiguration, const std::string& aPlace,
  std::uint64_t aCaller, const EntryFilter& aUsable, std::size_t aMost);

} // namespace guavaline
