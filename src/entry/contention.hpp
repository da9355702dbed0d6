#pragma once

/// Whether a service's targets may be short of room in ways that the entries
/// have to even out: by several client accounts, or by hosts that are shared.

#include <string>

namespace guavaline::detail {

struct Entry;

/// @returns true where any service is contended
[[nodiscard]] bool IsAnyContended(const Entry& aEntry);

/// @returns true where the configuration has client accounts, or where targets
///          of a service report the speed of their hosts
[[nodiscard]] bool IsContended(const Entry& aEntry,
                               const std::string& aService);

} // namespace guavaline::detail
