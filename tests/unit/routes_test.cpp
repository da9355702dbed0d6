#include <guavaline/core/hash.hpp>
#include <guavaline/routing/routes.hpp>

#include <criterion/criterion.h>

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
      second += PickService(route, key, tally) == "second" ? 1 : 0;
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
    ++seen[key][PickService(route, key, tally)];
  }
  int moved = 0;
  for (const auto& [key, parts] : seen) {
    moved += parts.size() > 1 ? 1 : 0;
  }
  cr_assert_lt(moved, 200, "%d of 1000 objects were served by both", moved);
}
