#pragma once

/// Stable 64-bit hashes, equal on every host and build.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace guavaline {

/// Hashes bytes with XXH3.
/// @param aBytes  what to hash
/// @param aSeed   selects one of many independent hash functions
/// @returns the same value on every host
[[nodiscard]] std::uint64_t Hash(std::string_view aBytes,
                                 std::uint64_t aSeed = 0) noexcept;

/// Mixes two hashes into one.
[[nodiscard]] std::uint64_t HashPair(std::uint64_t aFirst,
                                     std::uint64_t aSecond) noexcept;

/// Writes a hash as 16 hexadecimal digits.
[[nodiscard]] std::string HexId(std::uint64_t aHash);

/// Reads what HexId wrote.
/// @returns nothing where the text is no hexadecimal number
[[nodiscard]] std::optional<std::uint64_t> ParseHexId(
  std::string_view aText) noexcept;

} // namespace guavaline
