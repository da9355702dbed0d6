#pragma once

/// Ids of the requests that one connection has carried. Where an answer may
/// come twice, an id tells answers apart only as long as it is sent once.

#include <cstdint>
#include <string_view>
#include <vector>

namespace guavaline::detail {

/// Ids that a connection remembers; one that is full is not kept any longer.
inline constexpr std::size_t kMaxSentIds = 512;

struct SentIds
{
  std::vector<std::uint32_t> mHashes;
};

/// @returns true where the id was sent before; seldom also where it was not
[[nodiscard]] bool WasSent(const SentIds& aIds, std::string_view aId) noexcept;

void NoteSent(SentIds& aIds, std::string_view aId);

[[nodiscard]] bool IsFull(const SentIds& aIds) noexcept;

} // namespace guavaline::detail
