#include <guavaline/lookup/block_table.hpp>

#include <guavaline/core/hash.hpp>

#include <algorithm>

namespace guavaline {
namespace {

std::uint64_t ScoreOf(const BlockSite& aSite,
                      const ClientBlock& aBlock) noexcept
{
  return HashPair(aSite.mHash, aBlock.mHash);
}

bool IsNamed(const BlockSites& aRow, std::uint16_t aSite) noexcept
{
  return std::find(aRow.begin(), aRow.end(), aSite) != aRow.end();
}

bool SharesDomain(const BlockTable& aTable, const BlockSites& aRow,
                  std::uint16_t aSite) noexcept
{
  return std::any_of(aRow.begin(), aRow.end(), [&](std::uint16_t a) {
    return a != kNoSite && aTable.mSites[a].mFailureDomain ==
                             aTable.mSites[aSite].mFailureDomain;
  });
}

/// Finds the best site of a region that is not named yet.
std::uint16_t BestOf(const BlockTable& aTable, const ClientBlock& aBlock,
                     std::uint16_t aRegion, const BlockSites& aRow,
                     bool aOtherDomain) noexcept
{
  std::uint16_t best = kNoSite;
  std::uint64_t bestScore = 0;
  for (const auto it : aTable.mByRegion[aRegion]) {
    const auto& site = aTable.mSites[it];
    if (!site.mUsable || IsNamed(aRow, it) ||
        (aOtherDomain && SharesDomain(aTable, aRow, it))) {
      continue;
    }
    const auto score = ScoreOf(site, aBlock);
    if (best == kNoSite || score > bestScore) {
      best = it;
      bestScore = score;
    }
  }
  return best;
}

BlockSites MakeRow(const BlockTable& aTable, const ClientBlock& aBlock) noexcept
{
  BlockSites out;
  out.fill(kNoSite);
  std::size_t n = 0;
  for (const bool otherDomain : { true, false }) {
    for (const auto region : aTable.mNearest[aBlock.mRegion]) {
      while (n < out.size()) {
        const auto site = BestOf(aTable, aBlock, region, out, otherDomain);
        if (site == kNoSite) {
          break;
        }
        out[n++] = site;
      }
    }
  }
  return out;
}

/// True where a site that comes in would be named for a block.
bool WouldName(const BlockTable& aTable, std::size_t aBlock,
               std::uint16_t aSite) noexcept
{
  const auto& block = aTable.mBlocks[aBlock];
  const auto& row = aTable.mRows[aBlock];
  const auto& site = aTable.mSites[aSite];
  if (row.back() == kNoSite || site.mRegion == block.mRegion) {
    // Short rows take any site; in the own region scores decide.
    return row.back() == kNoSite ||
           std::any_of(row.begin(), row.end(), [&](std::uint16_t a) {
             const auto& named = aTable.mSites[a];
             return named.mRegion != block.mRegion ||
                    ScoreOf(site, block) > ScoreOf(named, block);
           });
  }
  return std::any_of(row.begin(), row.end(), [&](std::uint16_t a) {
    return aTable.mSites[a].mRegion != block.mRegion;
  });
}

} // namespace

BlockTable BuildBlockTable(std::vector<BlockSite> aSites,
                           std::vector<ClientBlock> aBlocks,
                           std::vector<std::vector<std::uint16_t>> aNearest)
{
  BlockTable out;
  out.mSites = std::move(aSites);
  out.mBlocks = std::move(aBlocks);
  out.mNearest = std::move(aNearest);
  out.mByRegion.resize(out.mNearest.size());
  for (std::size_t n = 0; n < out.mSites.size(); ++n) {
    out.mByRegion[out.mSites[n].mRegion].push_back(
      static_cast<std::uint16_t>(n));
  }
  out.mRows.reserve(out.mBlocks.size());
  for (const auto& it : out.mBlocks) {
    out.mRows.push_back(MakeRow(out, it));
  }
  return out;
}

std::size_t SetSiteUsable(BlockTable& aTable, std::uint16_t aSite, bool aUsable)
{
  if (aTable.mSites[aSite].mUsable == aUsable) {
    return 0;
  }
  aTable.mSites[aSite].mUsable = aUsable;
  std::size_t changed = 0;
  for (std::size_t n = 0; n < aTable.mRows.size(); ++n) {
    const bool affected =
      aUsable ? WouldName(aTable, n, aSite) : IsNamed(aTable.mRows[n], aSite);
    if (affected) {
      aTable.mRows[n] = MakeRow(aTable, aTable.mBlocks[n]);
      ++changed;
    }
  }
  return changed;
}

} // namespace guavaline
