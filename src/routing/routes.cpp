#include <guavaline/routing/routes.hpp>

#include <guavaline/core/hash.hpp>

#include <algorithm>

namespace guavaline {
namespace {

/// Requests that a part may be ahead of its weight for objects to keep their
/// part, over all entries: a tenth of the 200 over which weights must hold, as
/// it may go from ahead to behind.
constexpr double kMaxAhead = 10;
/// A tally starts at one of this many points of the cycle of parts, so that
/// entries with few requests do not all begin with the same part.
constexpr std::uint64_t kStartPoints = 1'000;

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

/// @returns the part's share of the requests by its weight
double ShareOf(const Route& aRoute, std::size_t aPart, double aSum)
{
  return aRoute.mServices[aPart].mWeight / aSum;
}

/// @returns the part that is furthest behind once one more request has come
std::size_t MostLacking(const Route& aRoute, const SplitTally& aTally,
                        double aSum)
{
  std::size_t out = 0;
  double most = 0;
  for (std::size_t n = 0; n < aRoute.mServices.size(); ++n) {
    const double lacks = ShareOf(aRoute, n, aSum) - aTally.mAhead[n];
    if (n == 0 || lacks > most) {
      out = n;
      most = lacks;
    }
  }
  return out;
}

void NoteSent(const Route& aRoute, SplitTally& aTally, double aSum,
              std::size_t aPart)
{
  for (std::size_t n = 0; n < aRoute.mServices.size(); ++n) {
    aTally.mAhead[n] -= ShareOf(aRoute, n, aSum);
  }
  aTally.mAhead[aPart] += 1;
}

void Start(const Route& aRoute, SplitTally& aTally, double aSum,
           std::uint64_t aRandom)
{
  aTally.mParts = aRoute.mServices;
  aTally.mAhead.assign(aRoute.mServices.size(), 0);
  for (auto n = aRandom % kStartPoints; n > 0; --n) {
    NoteSent(aRoute, aTally, aSum, MostLacking(aRoute, aTally, aSum));
  }
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
                               SplitTally& aTally, std::size_t aEntries,
                               std::uint64_t aRandom)
{
  if (aRoute.mServices.size() == 1) {
    return aRoute.mServices.front().mService;
  }
  const double sum = SumOfWeights(aRoute);
  if (aTally.mParts != aRoute.mServices) {
    Start(aRoute, aTally, sum, aRandom);
  }
  auto part = PartOf(aRoute, aKey, sum);
  const double ahead = aTally.mAhead[part] + 1 - ShareOf(aRoute, part, sum);
  if (ahead * static_cast<double>(aEntries) > kMaxAhead) {
    part = MostLacking(aRoute, aTally, sum);
  }
  NoteSent(aRoute, aTally, sum, part);
  return aRoute.mServices[part].mService;
}

} // namespace guavaline
