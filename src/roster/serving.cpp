#include <guavaline/roster/serving.hpp>

#include <guavaline/core/hash.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace guavaline {
namespace {

/// Requests a second that one core bears, and each megabit a second of a link,
/// from the figures of docs/CAPACITY.md, with half of both in reserve.
constexpr double kPerCore = 800;
constexpr double kPerMegabit = 5;
/// Part of its capacity that an entry is led to use: callers may come three
/// times as often before they are led to more entries.
constexpr double kUsePart = 0.35;
/// Part of the region's capacity that always serves.
constexpr double kMinPart = 0.25;
constexpr std::size_t kMinPerDomain = 2;
/// A peak loses half of its height in this time, so that fewer entries serve
/// only some time after the load has fallen.
constexpr double kPeakHalfLifeSeconds = 5;

/// A candidate and its rank within its failure domain.
struct Ranked
{
  ServingCandidate mEntry;
  std::uint64_t mHash = 0;
  std::size_t mRank = 0;
};

/// Orders the largest entries first, one failure domain after another.
std::vector<Ranked> RankAll(std::vector<ServingCandidate> aLive)
{
  std::vector<Ranked> out;
  for (auto& it : aLive) {
    const auto hash = Hash(it.mName);
    out.push_back({ std::move(it), hash, 0 });
  }
  std::sort(out.begin(), out.end(), [](const Ranked& a, const Ranked& b) {
    return a.mEntry.mCapacity != b.mEntry.mCapacity
             ? a.mEntry.mCapacity > b.mEntry.mCapacity
             : a.mHash < b.mHash;
  });
  std::map<std::string, std::size_t> perDomain;
  for (auto& it : out) {
    it.mRank = perDomain[it.mEntry.mFailureDomain]++;
  }
  std::stable_sort(
    out.begin(), out.end(),
    [](const Ranked& a, const Ranked& b) { return a.mRank < b.mRank; });
  return out;
}

} // namespace

double CapacityOf(double aCores, double aMegabits) noexcept
{
  return std::max(1.0, std::min(aCores * kPerCore, aMegabits * kPerMegabit));
}

void NoteRegionRate(RegionRate& aRegion, double aRate, double aCapacity,
                    TimePoint aNow) noexcept
{
  if (aRegion.mUpdated == TimePoint{}) {
    aRegion.mPeak = std::max(aRate, aCapacity);
  } else {
    const std::chrono::duration<double> gap = aNow - aRegion.mUpdated;
    aRegion.mPeak = std::max(
      aRate, aRegion.mPeak * std::exp2(-gap.count() / kPeakHalfLifeSeconds));
  }
  aRegion.mUpdated = aNow;
}

std::vector<std::string> ChooseServing(std::vector<ServingCandidate> aLive,
                                       double aPeak)
{
  const auto ranked = RankAll(std::move(aLive));
  const double all = std::accumulate(
    ranked.begin(), ranked.end(), 0.0,
    [](double a, const Ranked& b) { return a + b.mEntry.mCapacity; });
  std::vector<std::string> out;
  double capacity = 0;
  double least = all;
  for (const auto& it : ranked) {
    const auto n = static_cast<double>(out.size());
    const bool enough = it.mRank >= kMinPerDomain &&
                        capacity >= all * kMinPart &&
                        aPeak <= n * least * kUsePart;
    if (enough) {
      break;
    }
    out.push_back(it.mEntry.mName);
    capacity += it.mEntry.mCapacity;
    least = std::min(least, it.mEntry.mCapacity);
  }
  return out;
}

} // namespace guavaline
