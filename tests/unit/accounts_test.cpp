#include <guavaline/accounts/accounts.hpp>

#include <criterion/criterion.h>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

using Regions = std::vector<std::string>;

const TimePoint kNow{ 1000s };

ClientAccount AccountOf(const char* aName, const char* aKey)
{
  ClientAccount out;
  out.mName = aName;
  out.mKeys = { aKey };
  return out;
}

AccountIndex IndexOf(const std::vector<ClientAccount>& aAccounts)
{
  std::map<std::string, ClientAccount> accounts;
  for (const auto& it : aAccounts) {
    accounts[it.mName] = it;
  }
  return IndexAccounts(accounts);
}

} // namespace

// Guards against a key whose account depends on the order of a hash table, so
// that entries count the same request for different accounts.
Test(accounts, a_key_of_two_accounts_belongs_to_the_first_by_name)
{
  auto first = AccountOf("a", "k");
  first.mKeys = { "k", "k", "" };
  const auto index = IndexOf({ AccountOf("b", "k"), first });
  cr_assert_eq(index.mByKey.size(), 1U);
  cr_assert_eq(index.mByKey.at("k")->mName, "a");
  cr_assert_eq(index.mShared.size(), 1U);
  cr_assert_eq(index.mShared[0].mHolder, "a");
  cr_assert_eq(index.mShared[0].mOther, "b");
}

Test(accounts, credentials_are_read)
{
  cr_assert_eq(ReadCredentials("Bearer k-1"), "k-1");
  cr_assert_eq(ReadCredentials("bEARER  k=/+~."), "k=/+~.");
}

// Guards against malformed credentials that match a key.
Test(accounts, other_credentials_are_malformed)
{
  for (const auto* it : { "", "Bearer", "Bearer ", "Bearer   ", "k", "Basic k",
                          "Bearerk", "Bearer k l", "Bearer k\t", " Bearer k",
                          "Bearer\tk", "Bearers k", "Bearer \xc3\xa4" }) {
    cr_assert_not(ReadCredentials(it).has_value(), "%s", it);
  }
}

Test(accounts, a_route_that_is_not_public_needs_a_known_key)
{
  const auto index = IndexOf({ AccountOf("a", "k") });
  const Route route;
  const auto known = JudgeRequest(index, { route, "k", false });
  cr_assert_eq(known.mVerdict, AccountVerdict::Admitted);
  cr_assert_eq(known.mAccount->mName, "a");
  cr_assert(known.mAccount->mKeys.empty());
  const auto unknown = JudgeRequest(index, { route, "other", true });
  cr_assert_eq(unknown.mVerdict, AccountVerdict::UnknownKey);
  cr_assert_null(unknown.mAccount.get());
}

// Guards against a final 401 for a key that was added while the entry could
// not learn of it.
Test(accounts, an_unknown_key_is_unconfirmed_where_the_view_is)
{
  const auto index = IndexOf({ AccountOf("a", "k") });
  const Route route;
  cr_assert_eq(JudgeRequest(index, { route, "other", false }).mVerdict,
               AccountVerdict::KeyUnconfirmed);
  cr_assert_eq(JudgeRequest(index, { route, std::nullopt, false }).mVerdict,
               AccountVerdict::UnknownKey);
}

// Guards against a 401 that is given just after the bound for a key that was
// added just before a confirmation that took long to arrive.
Test(accounts, a_view_is_confirmed_for_less_than_its_bound)
{
  cr_assert(IsConfirmed(kNow, 4s, kNow + 3'800ms));
  cr_assert_not(IsConfirmed(kNow, 4s, kNow + 3'900ms));
  cr_assert_not(IsConfirmed({}, 4s, kNow));
}

Test(accounts, a_public_route_serves_without_a_key_and_counts_a_known_one)
{
  auto account = AccountOf("a", "k");
  account.mPriority = 3;
  const auto index = IndexOf({ account });
  Route route;
  route.mPublic = true;
  route.mPriority = 1;
  for (const bool confirmed : { false, true }) {
    for (const auto& key : { std::optional<std::string_view>(),
                             std::optional<std::string_view>("other") }) {
      const auto out = JudgeRequest(index, { route, key, confirmed });
      cr_assert_eq(out.mVerdict, AccountVerdict::Admitted);
      cr_assert_null(out.mAccount.get());
      cr_assert_eq(out.mPriority, 1U);
    }
  }
  const auto known = JudgeRequest(index, { route, "k", true });
  cr_assert_eq(known.mAccount->mName, "a");
  cr_assert_eq(known.mPriority, 3U);
}

Test(accounts, the_priority_of_an_account_goes_before_that_of_the_route)
{
  auto urgent = AccountOf("urgent", "k0");
  urgent.mPriority = 0;
  const auto index = IndexOf({ urgent, AccountOf("plain", "k1") });
  Route route;
  route.mPriority = 2;
  cr_assert_eq(JudgeRequest(index, { route, "k0", true }).mPriority, 0U);
  cr_assert_eq(JudgeRequest(index, { route, "k1", true }).mPriority, 2U);
}

Test(accounts, regions_are_intersected)
{
  cr_assert_eq(IntersectRegions({}, {}), Regions());
  cr_assert_eq(IntersectRegions({ "r1" }, {}), Regions({ "r1" }));
  cr_assert_eq(IntersectRegions({}, { "r2" }), Regions({ "r2" }));
  cr_assert_eq(IntersectRegions({ "r1", "r2", "r3" }, { "r3", "r2" }),
               Regions({ "r2", "r3" }));
  cr_assert_not(IntersectRegions({ "r1" }, { "r2" }).has_value());
}

// Guards against an empty intersection that is taken as "all regions".
Test(accounts, a_request_without_a_common_region_is_ruled_out)
{
  auto account = AccountOf("a", "k");
  account.mRegions = { "r2" };
  const auto index = IndexOf({ account });
  Route route;
  cr_assert_eq(JudgeRequest(index, { route, "k", true }).mRegions,
               Regions({ "r2" }));
  route.mRegions = { "r1" };
  const auto out = JudgeRequest(index, { route, "k", true });
  cr_assert_eq(out.mVerdict, AccountVerdict::NoRegion);
  cr_assert_eq(out.mAccount->mName, "a");
}
