#include "http/sent_ids.hpp"

#include <guavaline/core/hash.hpp>

#include <algorithm>

namespace guavaline::detail {
namespace {

std::uint32_t ShortHash(std::string_view aId) noexcept
{
  return static_cast<std::uint32_t>(Hash(aId));
}

} // namespace

bool WasSent(const SentIds& aIds, std::string_view aId) noexcept
{
  const auto& hashes = aIds.mHashes;
  return std::find(hashes.begin(), hashes.end(), ShortHash(aId)) !=
         hashes.end();
}

void NoteSent(SentIds& aIds, std::string_view aId)
{
  aIds.mHashes.push_back(ShortHash(aId));
}

bool IsFull(const SentIds& aIds) noexcept
{
  return aIds.mHashes.size() >= kMaxSentIds;
}

} // namespace guavaline::detail
