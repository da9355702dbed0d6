#include <guavaline/core/hash.hpp>

#include <charconv>

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace guavaline {

std::uint64_t Hash(std::string_view aBytes, std::uint64_t aSeed) noexcept
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::uint64_t HashPair(std::uint64_t aFirst, std::uint64_t aSecond) noexcept
{
  const std::array<std::uint64_t, 2> buf{ aFirst, aSecond };
  return XXH3_64bits(buf.data(), sizeof(buf));
}

std::string HexId(std::uint64_t aHash)
{
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx",
                static_cast<unsigned long long>(aHash));
  return buf.data();
}

std::optional<std::uint64_t> ParseHexId(std::string_view aText) noexcept
{
  constexpr int kHexBase = 16;
  std::uint64_t out = 0;
  const auto* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, out, kHexBase);
  if (read.ec != std::errc{} || read.ptr != end) {
    return std::nullopt;
  }
  return out;
}

} // namespace guavaline
