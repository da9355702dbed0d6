#include <guavaline/lookup/block_table.hpp>
#include <guavaline/lookup/lookup.hpp>

#include <guavaline/core/hash.hpp>

#include "fixtures.hpp"

#include <criterion/criterion.h>

#include <map>
#include <random>
#include <set>

using namespace guavaline;

namespace {

bool Any(const EntryHost&)
{
  return true;
}

BlockTable Table(std::uint16_t aSites, std::size_t aBlocks)
{
  constexpr std::uint16_t kRegions = 3;
  std::vector<BlockSite> sites;
  for (std::uint16_t n = 0; n < aSites; ++n) {
    sites.push_back({ Hash("site" + std::to_string(n)),
                      static_cast<std::uint16_t>(n % kRegions),
                      static_cast<std::uint16_t>(n % (2 * kRegions)), true });
  }
  std::vector<ClientBlock> blocks;
  for (std::size_t n = 0; n < aBlocks; ++n) {
    blocks.push_back({ Hash("block" + std::to_string(n)),
                       static_cast<std::uint16_t>(n % kRegions) });
  }
  return BuildBlockTable(std::move(sites), std::move(blocks),
                         { { 0, 1, 2 }, { 1, 2, 0 }, { 2, 0, 1 } });
}

} // namespace

Test(lookup, the_first_entry_is_near_and_the_next_in_another_domain)
{
  const auto configuration = tests::Example("tussock");
  for (std::uint64_t caller = 0; caller < 100; ++caller) {
    const auto list = RankEntries(configuration, "manawatu", caller, Any, 4);
    cr_assert_eq(list.size(), 4U);
    cr_assert_eq(configuration.mEntries[list[0]].mRegion, "manawatu");
    std::set<std::string> domains;
    for (const auto it : list) {
      domains.insert(configuration.mEntries[it].mFailureDomain);
    }
    cr_assert_eq(domains.size(), 4U);
  }
}

Test(lookup, callers_are_spread_over_the_entries_of_a_region)
{
  const auto configuration = tests::Example("tussock");
  std::map<std::size_t, int> counts;
  for (int n = 0; n < 4'000; ++n) {
    const auto caller = Hash("caller" + std::to_string(n));
    ++counts[RankEntries(configuration, "waikato", caller, Any, 1)[0]];
  }
  cr_assert_eq(counts.size(), 4U);
  for (const auto& [entry, n] : counts) {
    cr_assert_gt(n, 850);
    cr_assert_lt(n, 1150);
  }
}

Test(lookup, an_entry_that_goes_moves_only_its_own_callers)
{
  const auto configuration = tests::Example("tussock");
  const auto without = [](const EntryHost& a) {
    return a.mName != "waikato-a1";
  };
  for (std::uint64_t caller = 0; caller < 500; ++caller) {
    const auto before = RankEntries(configuration, "waikato", caller, Any, 1);
    const auto after =
      RankEntries(configuration, "waikato", caller, without, 1);
    if (configuration.mEntries[before[0]].mName != "waikato-a1") {
      cr_assert_eq(before[0], after[0]);
    }
  }
}

Test(lookup, an_unknown_place_gets_entries_too)
{
  const auto configuration = tests::Example("tussock");
  cr_assert_eq(RankEntries(configuration, "nowhere", 1, Any, 4).size(), 4U);
}

Test(lookup, an_updated_table_equals_one_built_anew)
{
  auto table = Table(30, 2'000);
  std::mt19937_64 random(3);
  for (int n = 0; n < 60; ++n) {
    const auto site = static_cast<std::uint16_t>(random() % 30);
    const auto changed =
      SetSiteUsable(table, site, !table.mSites[site].mUsable);
    cr_assert_leq(changed, 2'000U);
    const auto anew =
      BuildBlockTable(table.mSites, table.mBlocks, table.mNearest);
    for (std::size_t k = 0; k < table.mRows.size(); ++k) {
      cr_assert(table.mRows[k] == anew.mRows[k], "step %d row %zu", n, k);
    }
  }
}

Test(lookup, a_site_that_goes_changes_few_rows)
{
  auto table = Table(660, 20'000);
  const auto changed = SetSiteUsable(table, 17, false);
  // A row names 4 of 660 sites.
  cr_assert_gt(changed, 0U);
  cr_assert_lt(changed, 20'000U * 4 * 3 / 660);
}
