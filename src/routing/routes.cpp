#include <guavaline/routing/routes.hpp>

#include <guavaline/core/hash.hpp>

#include <algorithm>

namespace guavaline {
namespace {

/// Largest distance of a part's share from its weight before objects move.
constexpr double kMostDrift = 0.03;
/// Weight of the tally's past at each request; about 500 requests count.
constexpr double kTallyFade = 0.998;
/// Requests before the shares are looked at.
constexpr double kFewRequests = 10;

double SumOfWeights(const Route& aRoute)
{
  double out = 0;
  for (const auto& it : aRoute.mServices) {
    out += it.mWeight;
  }
  return out;
}

/// @returns the part in which a hash falls when parts are laid end to end
std::size_t PartOf(const Route& aRoute, std::uint64_t aKey, double aSum)
{
  constexpr double kHashes = 18446744073709551616.0; // 2^64
  double at = static_cast<double>(aKey) / kHashes * aSum;
  for (std::size_t n = 0; n < aRoute.mServices.size(); ++n) {
    at -= aRoute.mServices[n].mWeight;
    if (at < 0) {
      return n;
    }
  }
  return aRoute.mServices.size() - 1;
}

double ShareGap(const Route& aRoute, const SplitTally& aTally, double aSum,
                std::size_t aPart)
{
  return aTally.mSent[aPart] / aTally.mAll -
         aRoute.mServices[aPart].mWeight / aSum;
}

/// @returns the part that is furthest below its weight
std::size_t MostLacking(const Route& aRoute, const SplitTally& aTally,
                        double aSum)
{
  std::size_t out = 0;
  for (std::size_t n = 1; n < aRoute.mServices.size(); ++n) {
    if (ShareGap(aRoute, aTally, aSum, n) <
        ShareGap(aRoute, aTally, aSum, out)) {
      out = n;
    }
  }
  return out;
}

} // namespace

const Route* MatchRoute(const RoutingTable& aTable, std::string_view aHost,
                        std::string_view aPath) noexcept
{
  const Route* out = nullptr;
  for (const auto& it : aTable.mRoutes) {
    if (it.mHost == aHost && aPath.starts_with(it.mPathPrefix) &&
        (out == nullptr || it.mPathPrefix.size() > out->mPathPrefix.size())) {
      out = &it;
    }
  }
  return out;
}

const std::string& PickService(const Route& aRoute, std::uint64_t aKey,
                               SplitTally& aTally)
{
  if (aRoute.mServices.size() == 1) {
    return aRoute.mServices.front().mService;
  }
  if (aTally.mSent.size() != aRoute.mServices.size()) {
    aTally.mSent.assign(aRoute.mServices.size(), 0);
    aTally.mAll = 0;
  }
  const double sum = SumOfWeights(aRoute);
  auto part = PartOf(aRoute, aKey, sum);
  if (aTally.mAll >= kFewRequests &&
      ShareGap(aRoute, aTally, sum, part) > kMostDrift) {
    part = MostLacking(aRoute, aTally, sum);
  }
  for (auto& it : aTally.mSent) {
    it *= kTallyFade;
  }
  aTally.mAll = aTally.mAll * kTallyFade + 1;
  aTally.mSent[part] += 1;
  return aRoute.mServices[part].mService;
}

} // namespace guavaline
