#pragma once

/// Bounds on what the entry takes from callers: what operators allow, within
/// what the process can bear.

#include "entry/settings.hpp"
#include "http/server.hpp"

#include <guavaline/routing/routes.hpp>

namespace guavaline::detail {

/// @param aProcess  what the process can bear
/// @param aCallers  what the configuration in force allows
[[nodiscard]] HttpServerLimits LimitsFor(const EntryLimits& aProcess,
                                         const CallerLimits& aCallers) noexcept;

/// @returns the bound on bodies of targets' answers that are being read
[[nodiscard]] std::uint64_t MostAnswerBytes(
  const EntryLimits& aProcess) noexcept;

} // namespace guavaline::detail
