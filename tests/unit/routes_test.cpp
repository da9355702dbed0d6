#include <guavaline/core/hash.hpp>
#include <guavaline/routing/routes.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>

using namespace guavaline;

namespace {

Route MakeRoute(const std::string& aHost, const std::string& aPrefix)
{
  Route out;
  out.mHost = aHost;
  out.mPathPrefix = aPrefix;
  out.mServices = { { "first", 1 } };
  return out;
}

/// The platform's rule: over this many requests no share is further from its
/// weight than this.
constexpr std::size_t kWindow = 200;
constexpr double kMaxOff = 0.2;

/// Many entries that serve one split route, each with few of its requests.
class Entries
{
public:
  Entries(std::size_t aEntries, std::uint64_t aSeed)
    : mTallies(aEntries)
    , mSeed(aSeed)
  {
  }

  /// Serves requests for a few objects.
  /// @returns for each request whether the first service got it
  std::vector<bool> Serve(const Route& aRoute, std::size_t aRequests,
                          std::uint64_t aObjects = 24)
  {
    std::vector<bool> out;
    for (std::size_t n = 0; n < aRequests; ++n) {
      const auto draw = HashPair(mSeed, ++mDraws);
      auto& tally = mTallies[draw % mTallies.size()];
      const auto object = HashPair(mSeed, HashPair(draw, 1) % aObjects);
      const auto& service =
        PickService(aRoute, object, tally, mTallies.size(), HashPair(draw, 2));
      out.push_back(service == aRoute.mServices.front().mService);
    }
    return out;
  }

private:
  std::vector<SplitTally> mTallies;
  std::uint64_t mSeed;
  std::uint64_t mDraws = 0;
};

/// @returns the largest distance of the first service's share from its weight
double FurthestOff(const std::vector<bool>& aFirst, double aWeight)
{
  double out = 0;
  for (std::size_t n = 0; n + kWindow <= aFirst.size(); ++n) {
    const auto from = aFirst.begin() + static_cast<std::ptrdiff_t>(n);
    const auto share =
      static_cast<double>(std::count(from, from + kWindow, true)) / kWindow;
    out = std::max(out, std::abs(share - aWeight));
  }
  return out;
}

} // namespace

Test(routes, the_longest_prefix_of_the_host_wins)
{
  RoutingTable table;
  table.mRoutes = { MakeRoute("a.example", "/x/"),
                    MakeRoute("a.example", "/x/y/"),
                    MakeRoute("b.example", "/x/y/z/") };
  cr_assert_eq(MatchRoute(table, "a.example", "/x/y/z/1"), &table.mRoutes[1]);
  cr_assert_eq(MatchRoute(table, "a.example", "/x/q"), &table.mRoutes[0]);
  cr_assert_null(MatchRoute(table, "a.example", "/q"));
  cr_assert_null(MatchRoute(table, "c.example", "/x/"));
}

Test(routes, a_split_keeps_its_weights_though_objects_are_few)
{
  auto route = MakeRoute("a.example", "/x/");
  route.mServices = { { "first", 90 }, { "second", 10 } };
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    SplitTally tally;
    double second = 0;
    constexpr int kRequests = 2'000;
    constexpr std::uint64_t kObjects = 12;
    for (int n = 0; n < kRequests; ++n) {
      const auto object = Hash("request " + std::to_string(n)) % kObjects;
      const auto key = HashPair(seed, object);
      second += PickService(route, key, tally, 1, seed) == "second" ? 1 : 0;
    }
    cr_assert_lt(std::abs(second / kRequests - 0.1), 0.05, "seed %d: %f",
                 static_cast<int>(seed), second / kRequests);
  }
}

Test(routes, an_object_keeps_its_part_while_the_shares_are_near)
{
  auto route = MakeRoute("a.example", "/x/");
  route.mServices = { { "first", 50 }, { "second", 50 } };
  SplitTally tally;
  std::map<std::uint64_t, std::map<std::string, int>> seen;
  for (std::uint64_t n = 0; n < 20'000; ++n) {
    const auto key = Hash(std::to_string(n % 1'000));
    ++seen[key][PickService(route, key, tally, 1, 0)];
  }
  int moved = 0;
  for (const auto& [key, parts] : seen) {
    moved += parts.size() > 1 ? 1 : 0;
  }
  cr_assert_lt(moved, 200, "%d of 1000 objects were served by both", moved);
}

// Guards against a tally that outlives a change of the weights: the service
// that gained weight got every request until the old ones were outweighed.
Test(routes, changed_weights_hold_from_the_first_request)
{
  auto route = MakeRoute("a.example", "/x/");
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    Entries entries(61, seed);
    route.mServices = { { "first", 90 }, { "second", 10 } };
    (void)entries.Serve(route, 2'000);
    route.mServices = { { "first", 50 }, { "second", 50 } };
    const auto off = FurthestOff(entries.Serve(route, 2'000), 0.5);
    cr_expect_leq(off, kMaxOff, "seed %d: %.3f off", static_cast<int>(seed),
                  off);
  }
}

// Guards against a tally that is kept by position: services that come in
// another order, or take another's place, inherited its requests.
Test(routes, a_service_inherits_no_requests_of_the_one_it_replaces)
{
  auto route = MakeRoute("a.example", "/x/");
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    Entries entries(61, seed);
    route.mServices = { { "first", 80 }, { "second", 20 } };
    (void)entries.Serve(route, 2'000);
    route.mServices = { { "second", 20 }, { "first", 80 } };
    const auto swapped = FurthestOff(entries.Serve(route, 2'000), 0.2);
    cr_expect_leq(swapped, kMaxOff, "seed %d, swapped: %.3f off",
                  static_cast<int>(seed), swapped);
    route.mServices = { { "third", 50 }, { "first", 50 } };
    const auto replaced = FurthestOff(entries.Serve(route, 2'000), 0.5);
    cr_expect_leq(replaced, kMaxOff, "seed %d, replaced: %.3f off",
                  static_cast<int>(seed), replaced);
  }
}

// Guards against weights that hold only once each entry has had some
// requests: until then the objects' hashes decided, alike on all entries.
Test(routes, weights_hold_from_the_first_request_of_many_entries)
{
  auto route = MakeRoute("a.example", "/x/");
  for (const double weight : { 0.5, 0.8, 0.1 }) {
    route.mServices = { { "first", weight }, { "second", 1 - weight } };
    for (const std::size_t entries : { 12U, 61U, 195U }) {
      for (std::uint64_t seed = 0; seed < 20; ++seed) {
        const auto served = Entries(entries, seed).Serve(route, 3'000);
        const auto off = FurthestOff(served, weight);
        cr_expect_leq(off, kMaxOff, "%zu entries, weight %.1f, seed %d: %.3f",
                      entries, weight, static_cast<int>(seed), off);
      }
    }
  }
}

// Guards against a drift that each entry allows itself: when other objects
// are asked for, all entries drift to the other side at once.
Test(routes, weights_hold_when_other_objects_are_asked_for)
{
  auto route = MakeRoute("a.example", "/x/");
  route.mServices = { { "first", 50 }, { "second", 50 } };
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    Entries entries(61, seed);
    std::vector<bool> served;
    for (int turn = 0; turn < 10; ++turn) {
      const auto some = entries.Serve(route, 1'000, turn % 2 == 0 ? 1 : 3);
      served.insert(served.end(), some.begin(), some.end());
    }
    const auto off = FurthestOff(served, 0.5);
    cr_expect_leq(off, kMaxOff, "seed %d: %.3f off", static_cast<int>(seed),
                  off);
  }
}
