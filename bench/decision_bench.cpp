/// Cost of each decision by size, for docs/MEASUREMENTS.md and the slopes of
/// docs/CAPACITY.md.

#include "peers/messages.hpp"

#include <guavaline/guavaline.hpp>
#include <guavaline/lookup/block_table.hpp>

#include <benchmark/benchmark.h>

#include <random>

using namespace guavaline;

namespace {

constexpr std::uint16_t kRegions = 9;
constexpr std::uint16_t kDomains = 26;
const TimePoint kNow{ Seconds(1'000) };

std::string Name(const char* aKind, std::size_t aIndex)
{
  return aKind + std::to_string(100'000 + aIndex);
}

/// A configuration with entries and targets spread over nine regions.
Configuration Fleet(std::size_t aEntries, std::size_t aTargets)
{
  Answers answers;
  answers.mDeployment = "bench";
  answers.mBetweenRegions = { Millis(35), BitRate{ 1'000'000'000 } };
  for (std::size_t n = 0; n < kRegions; ++n) {
    answers.mRegions.push_back({ Name("region", n), {} });
  }
  for (std::size_t n = 0; n < kDomains; ++n) {
    answers.mRegions[n % kRegions].mFailureDomains.push_back(Name("domain", n));
  }
  const auto place = [&](std::size_t aIndex) {
    const auto& region = answers.mRegions[aIndex % kRegions];
    return std::pair(region.mName,
                     region.mFailureDomains[aIndex / kRegions %
                                            region.mFailureDomains.size()]);
  };
  for (std::size_t n = 0; n < aEntries; ++n) {
    const auto [region, domain] = place(n);
    answers.mEntries.push_back({ Name("entry", n), "10.0.0.1",
                                 static_cast<std::uint16_t>(1 + n % 60'000), 1,
                                 region, domain });
  }
  ServiceAnswer service;
  service.mName = "service";
  service.mSlotsPerTarget = 3;
  answers.mServices.push_back(service);
  auto out = Generate(answers);
  for (std::size_t n = 0; n < aTargets; ++n) {
    const auto [region, domain] = place(n);
    out.mServices[0].mTargets.push_back(
      { Name("target", n), "10.0.0.2", 9'000, region, domain, 3 });
  }
  return out;
}

BlockTable Blocks(std::size_t aBlocks, std::size_t aSites)
{
  std::vector<BlockSite> sites;
  for (std::size_t n = 0; n < aSites; ++n) {
    sites.push_back({ Hash(Name("site", n)),
                      static_cast<std::uint16_t>(n % kRegions),
                      static_cast<std::uint16_t>(n % kDomains), true });
  }
  std::vector<ClientBlock> blocks;
  for (std::size_t n = 0; n < aBlocks; ++n) {
    blocks.push_back(
      { Hash(Name("block", n)), static_cast<std::uint16_t>(n % kRegions) });
  }
  std::vector<std::vector<std::uint16_t>> nearest(kRegions);
  for (std::uint16_t n = 0; n < kRegions; ++n) {
    for (std::uint16_t k = 0; k < kRegions; ++k) {
      nearest[n].push_back(static_cast<std::uint16_t>((n + k) % kRegions));
    }
  }
  return BuildBlockTable(std::move(sites), std::move(blocks),
                         std::move(nearest));
}

void RankEntriesBySize(benchmark::State& aState)
{
  const auto fleet = Fleet(static_cast<std::size_t>(aState.range(0)), 1);
  std::uint64_t caller = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(RankEntries(
      fleet, fleet.mRegions[0].mName, ++caller,
      [](const EntryHost&) { return true; }, 4));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(RankEntriesBySize)
  ->Arg(12)
  ->Arg(100)
  ->Arg(400)
  ->Arg(1'600)
  ->Complexity();

void BlockTableBuild(benchmark::State& aState)
{
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      Blocks(static_cast<std::size_t>(aState.range(0)), 660));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(BlockTableBuild)
  ->Arg(1'000)
  ->Arg(10'000)
  ->Arg(50'000)
  ->Arg(270'000)
  ->Unit(benchmark::kMillisecond)
  ->Complexity(benchmark::oN);

void BlockTableBuildBySites(benchmark::State& aState)
{
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      Blocks(10'000, static_cast<std::size_t>(aState.range(0))));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(BlockTableBuildBySites)
  ->Arg(10)
  ->Arg(60)
  ->Arg(220)
  ->Arg(660)
  ->Unit(benchmark::kMillisecond)
  ->Complexity(benchmark::oN);

void BlockTableSiteChange(benchmark::State& aState)
{
  auto table = Blocks(static_cast<std::size_t>(aState.range(0)), 660);
  std::uint16_t site = 0;
  bool usable = false;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(SetSiteUsable(table, site, usable));
    site = static_cast<std::uint16_t>(usable ? (site + 1) % 660 : site);
    usable = !usable;
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(BlockTableSiteChange)
  ->Arg(1'000)
  ->Arg(10'000)
  ->Arg(50'000)
  ->Arg(270'000)
  ->Unit(benchmark::kMicrosecond)
  ->Complexity(benchmark::oN);

void BlockTableLookup(benchmark::State& aState)
{
  const auto table = Blocks(static_cast<std::size_t>(aState.range(0)), 660);
  std::mt19937_64 random(1);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(SitesOf(table, random() % table.mRows.size()));
  }
}
BENCHMARK(BlockTableLookup)->Arg(1'000)->Arg(10'000)->Arg(50'000)->Arg(270'000);

void ChooseTargetBySize(benchmark::State& aState)
{
  const auto fleet = Fleet(9, static_cast<std::size_t>(aState.range(0)) * 9);
  const auto& service = fleet.mServices[0];
  const auto slots =
    MakeSlotTable(AssignSlots(fleet, service, fleet.mEntries[0].mName), kNow);
  const std::vector<TargetHealth> health(service.mTargets.size());
  const TargetQuery query{
    service, fleet.mRegions[0].mName, kNow, kNow + Seconds(1), {}
  };
  std::uint64_t n = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      ChooseTarget(query, slots, health, [&] { return ++n; }));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(ChooseTargetBySize)
  ->Arg(12)
  ->Arg(34)
  ->Arg(100)
  ->Arg(400)
  ->Complexity();

void AssignSlotsBySize(benchmark::State& aState)
{
  const auto n = static_cast<std::size_t>(aState.range(0));
  const auto fleet = Fleet(n, n * 4);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      AssignSlots(fleet, fleet.mServices[0], fleet.mEntries[0].mName));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(AssignSlotsBySize)
  ->Arg(12)
  ->Arg(100)
  ->Arg(400)
  ->Arg(1'600)
  ->Unit(benchmark::kMicrosecond)
  ->Complexity();

void ReadConfigurationBySize(benchmark::State& aState)
{
  const auto n = static_cast<std::size_t>(aState.range(0));
  const auto stored = ToStored(Fleet(n, n / 7 + 1));
  for (auto _ : aState) {
    Configuration out;
    benchmark::DoNotOptimize(FromStored(stored, out));
    benchmark::DoNotOptimize(Check(out));
  }
  aState.counters["bytes"] = static_cast<double>(stored.size());
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(ReadConfigurationBySize)
  ->Arg(12)
  ->Arg(100)
  ->Arg(400)
  ->Arg(1'600)
  ->Unit(benchmark::kMicrosecond)
  ->Complexity();

void AdmitAndFinish(benchmark::State& aState)
{
  auto table = MakeAttemptTable({ "entry", 7 }, Millis(600'000), kNow);
  table.mMaxAttempts = 100'000'000;
  const auto prefix = IdentityPrefix(table, kNow);
  std::uint64_t n = 0;
  for (auto _ : aState) {
    const auto id = prefix + std::to_string(++n);
    benchmark::DoNotOptimize(Admit(table, id, 1, kNow));
    benchmark::DoNotOptimize(StartRun(table, id));
    FinishRun(table, id, { 200, "application/json", "{\"ok\":true}" });
  }
}
BENCHMARK(AdmitAndFinish);

void PlannedSharesByDrains(benchmark::State& aState)
{
  auto fleet = Fleet(12, 46);
  const WallTime start{ Seconds(1'800'000'000) };
  for (std::int64_t n = 0; n < aState.range(0); ++n) {
    fleet.mDrains.push_back(
      { Name("drain", static_cast<std::size_t>(n)), DrainScope::Region,
        fleet.mRegions[static_cast<std::size_t>(n) % 8].mName,
        start + Seconds(n * 4'000), start + Seconds(n * 4'000 + 2'000) });
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      PlannedShares(fleet, fleet.mServices[0], 0, start + Seconds(900'000)));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(PlannedSharesByDrains)
  ->Arg(1)
  ->Arg(4)
  ->Arg(16)
  ->Arg(64)
  ->Unit(benchmark::kMicrosecond)
  ->Complexity();

} // namespace

BENCHMARK_MAIN();
