#pragma once

/// Which sites serve each block of client addresses: a table built when the
/// configuration or a site changes, so that a look-up is one array access.

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace guavaline {

/// Sites named for one block, best first.
inline constexpr std::size_t kSitesPerBlock = 4;
/// Marks the end of a shorter list.
inline constexpr std::uint16_t kNoSite = 0xffff;

/// One site as the table sees it.
struct BlockSite
{
  std::uint64_t mHash = 0; ///< Of the site's name.
  std::uint16_t mRegion = 0;
  std::uint16_t mFailureDomain = 0;
  bool mUsable = true;
};

/// One block of client addresses.
struct ClientBlock
{
  std::uint64_t mHash = 0; ///< Of the block's prefix.
  std::uint16_t mRegion = 0;
};

using BlockSites = std::array<std::uint16_t, kSitesPerBlock>;

/// The table; rows are indexed like the blocks.
struct BlockTable
{
  std::vector<BlockSite> mSites;
  std::vector<ClientBlock> mBlocks;
  /// Regions in order of distance, by region.
  std::vector<std::vector<std::uint16_t>> mNearest;
  std::vector<BlockSites> mRows;
  /// Site indices of each region.
  std::vector<std::vector<std::uint16_t>> mByRegion;
};

/// Builds the whole table.
/// @param aNearest  for each region all regions, nearest first
[[nodiscard]] BlockTable BuildBlockTable(
  std::vector<BlockSite> aSites, std::vector<ClientBlock> aBlocks,
  std::vector<std::vector<std::uint16_t>> aNearest);

/// @returns the sites of a block, best first, in different failure domains
///          as far as there are any
[[nodiscard]] inline const BlockSites& SitesOf(const BlockTable& aTable,
                                               std::size_t aBlock) noexcept
{
  return aTable.mRows[aBlock];
}

/// Takes a site out or in; only rows that change are worked out again.
/// @returns how many rows were worked out
std::size_t SetSiteUsable(BlockTable& aTable, std::uint16_t aSite,
                          bool aUsable);

} // namespace guavaline
