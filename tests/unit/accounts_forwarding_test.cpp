#include "entry/accounts.hpp"

#include "entry_fixtures.hpp"
#include "fixtures.hpp"
#include "scripted_server.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;
using tests::ScriptedAnswer;
using tests::ScriptedServer;

namespace {

namespace asio = boost::asio;

constexpr const char* kKey = "Bearer k-secret";

/// An entry in region "r1" with one target there and one in "r2".
struct Bed
{
  asio::io_context mContext{ 1 };
  Entry mEntry{ mContext, tests::EntrySettingsOf("e1"), tests::PlainAdapter() };
  std::vector<std::unique_ptr<ScriptedServer>> mTargets;
  RoutingTable mNext; ///< The configuration that the next version brings.

  explicit Bed(bool aAccounts = true)
  {
    tests::ServeOneRoute(mEntry, RequestKind::Idempotent);
    SetDomains(mEntry.mRegistry, { { "d1", "r1" }, { "d2", "r2" } });
    for (const auto* domain : { "d1", "d2" }) {
      mTargets.push_back(std::make_unique<ScriptedServer>(
        mContext, [](int, const std::string&) -> ScriptedAnswer {
          return { "HTTP/1.1 200 Any\r\nProof: p\r\nContent-Length: 2\r\n\r\n"
                   "ok" };
        }));
      auto target =
        tests::TargetAt(std::string("at-") + domain,
                        "127.0.0.1:" + std::to_string(mTargets.back()->Port()));
      target.mFailureDomain = domain;
      TakeRegistration(mEntry.mRegistry, target, Clock::now());
    }
    // A configuration sets the limits of a server that listens.
    cr_assert(mEntry.mCallerServer
                .Listen(mContext, "127.0.0.1", 0,
                        [](HttpRequest) -> asio::awaitable<HttpResponse> {
                          co_return HttpResponse{};
                        },
                        {})
                .empty());
    mNext = mEntry.mRouting;
    if (aAccounts) {
      auto& account = mNext.mAccounts["acme"];
      account.mName = "acme";
      account.mKeys = { "k-secret" };
    }
    mEntry.mPlatform.mReadRouting = [this](const ObjectChange&) {
      return std::optional(mNext);
    };
    Activate();
  }

  Route& NextRoute() { return mNext.mRoutes[0]; }

  /// Brings the next configuration into force, confirmed just now.
  void Activate()
  {
    ++mNext.mVersion;
    ApplyChanges(mEntry, ObjectKind::Routing, { {} }, Clock::now());
    mEntry.mFollows[ObjectKind::Routing].mView.mConfirmed = Clock::now();
  }

  HttpResponse Send(const Headers& aMore)
  {
    HttpRequest request;
    request.mTarget = "/x/1";
    request.mHeaders = { { "Host", "a.example" }, { "Id", "q1" } };
    request.mHeaders.insert(request.mHeaders.end(), aMore.begin(), aMore.end());
    return tests::Forward(mContext, mEntry, std::move(request));
  }

  /// @returns the header of the last request to any target
  [[nodiscard]] std::string LastHead() const
  {
    for (const auto& it : mTargets) {
      if (it->Requests() > 0) {
        return it->Heads().back();
      }
    }
    return "";
  }

  [[nodiscard]] int Runs() const
  {
    return mTargets[0]->Requests() + mTargets[1]->Requests();
  }

  [[nodiscard]] bool Counted(const std::string& aLine) const
  {
    return mEntry.mMetrics.Text().find(aLine) != std::string::npos;
  }
};

bool Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

// Guards against keys that reach targets, and callers that pose as an account.
Test(accounts_forwarding, a_target_gets_the_account_and_never_the_key)
{
  Bed bed;
  cr_assert_eq(
    bed.Send({ { "KEY", kKey }, { "account", "other" }, { "Other", "kept" } })
      .mStatus,
    200U);
  const auto head = bed.LastHead();
  cr_assert(Has(head, "Account: acme\r\n"), "%s", head.c_str());
  cr_assert(Has(head, "Other: kept\r\n"));
  cr_assert_not(Has(head, "secret"));
  cr_assert_not(Has(head, "account: other"));
  cr_assert(
    bed.Counted("account_requests_total{account=\"acme\",reason=\"answered\"} "
                "1\n"));
}

Test(accounts_forwarding, a_request_without_a_known_key_is_refused_for_good)
{
  Bed bed;
  const std::vector<Headers> wrong = { {},
                                       { { "Key", "Bearer other" } },
                                       { { "Key", "k-secret" } },
                                       { { "Key", kKey }, { "Key", kKey } } };
  for (const auto& it : wrong) {
    const auto out = bed.Send(it);
    cr_assert_eq(out.mStatus, 401U);
    cr_assert(FindHeader(out.mHeaders, "Retry-After").empty());
    cr_assert_eq(FindHeader(out.mHeaders, "Id"), "q1");
    cr_assert_not(Has(out.mBody, "secret") || Has(out.mBody, "other"));
  }
  cr_assert_eq(bed.Runs(), 0);
  cr_assert(bed.Counted("reason=\"unknown_key\"} 4\n"));
  cr_assert_not(bed.Counted("secret") || bed.Counted("other"));
}

// Guards against a final 401 from an entry that may not know a new key yet.
Test(accounts_forwarding, an_entry_cut_off_refuses_unknown_keys_for_now_only)
{
  Bed bed;
  bed.mEntry.mFollows[ObjectKind::Routing].mView.mConfirmed =
    Clock::now() - bed.mEntry.mSettings.mBounds.mRoutingAge;
  const auto out = bed.Send({ { "Key", "Bearer other" } });
  cr_assert_eq(out.mStatus, 503U);
  cr_assert_not(FindHeader(out.mHeaders, "Retry-After").empty());
  cr_assert_eq(bed.Send({}).mStatus, 401U);
  cr_assert_eq(bed.Send({ { "Key", kKey } }).mStatus, 200U);
}

// Guards against keys of an earlier configuration that go on being served.
Test(accounts_forwarding, keys_change_with_the_configuration)
{
  Bed bed;
  cr_assert_eq(bed.Send({ { "Key", kKey } }).mStatus, 200U);
  bed.mNext.mAccounts["acme"].mKeys = { "k-new" };
  bed.Activate();
  cr_assert_eq(bed.Send({ { "Key", kKey } }).mStatus, 401U);
  cr_assert_eq(bed.Send({ { "Key", "Bearer k-new" } }).mStatus, 200U);
  // The counters of an account end with it.
  bed.mNext.mAccounts.clear();
  bed.mNext.mAccounts["later"].mName = "later";
  bed.Activate();
  cr_assert_not(bed.Counted("account=\"acme\""));
}

Test(accounts_forwarding, a_public_route_needs_no_key_and_forwards_none)
{
  Bed bed;
  bed.NextRoute().mPublic = true;
  bed.Activate();
  cr_assert_eq(
    bed.Send({ { "Key", "Bearer unknown" }, { "Account", "acme" } }).mStatus,
    200U);
  auto head = bed.LastHead();
  cr_assert_not(Has(head, "unknown") || Has(head, "acme"), "%s", head.c_str());
  cr_assert_eq(bed.Send({ { "Key", kKey } }).mStatus, 200U);
  head = bed.LastHead();
  cr_assert(Has(head, "Account: acme\r\n") && !Has(head, "secret"));
}

// Guards against requests that run in regions which their account excludes.
Test(accounts_forwarding, requests_run_in_the_regions_of_route_and_account)
{
  Bed bed;
  bed.mNext.mAccounts["acme"].mRegions = { "r2", "r3" };
  bed.Activate();
  for (int n = 0; n < 5; ++n) {
    cr_assert_eq(bed.Send({ { "Key", kKey } }).mStatus, 200U);
  }
  cr_assert_eq(bed.mTargets[0]->Requests(), 0);
  cr_assert_eq(bed.mTargets[1]->Requests(), 5);
  bed.NextRoute().mRegions = { "r1" };
  bed.Activate();
  const auto out = bed.Send({ { "Key", kKey } });
  cr_assert_eq(out.mStatus, 503U);
  cr_assert(Has(out.mBody, "no_region"));
  cr_assert_eq(bed.Runs(), 5);
  cr_assert(bed.Counted("account=\"acme\",reason=\"no_region\"} 1\n"));
}

Test(accounts_forwarding, the_priority_of_the_account_is_used_for_placement)
{
  Bed bed;
  bed.mNext.mAccounts["acme"].mPriority = 0;
  bed.NextRoute().mPriority = 2;
  bed.Activate();
  RequestState state;
  state.mRoute = bed.mEntry.mRouting.mRoutes[0];
  state.mRequest.mHeaders = { { "Key", kKey } };
  cr_assert_not(CheckAccount(bed.mEntry, state, Clock::now()).has_value());
  cr_assert_eq(state.mRoute.mPriority, 0U);
  cr_assert_eq(state.mAccount, "acme");
  cr_assert_eq(bed.mEntry.mRouting.mRoutes[0].mPriority, 2U);
}

// Guards against a change for deployments without accounts, whose callers and
// targets may use these headers among themselves.
Test(accounts_forwarding, without_accounts_headers_pass_and_no_key_is_needed)
{
  Bed bed(false);
  cr_assert_eq(bed.Send({}).mStatus, 200U);
  cr_assert_not(Has(bed.LastHead(), "Account:"));
  cr_assert_eq(bed.Send({ { "Key", kKey }, { "Account", "any" } }).mStatus,
               200U);
  const auto head = bed.LastHead();
  cr_assert(Has(head, std::string("Key: ") + kKey + "\r\n"), "%s",
            head.c_str());
  cr_assert(Has(head, "Account: any\r\n"));
  cr_assert_not(bed.Counted("account_requests"));
}

// Guards against a key that is forwarded because the configuration changed
// between the check of the request and its sending.
Test(accounts_forwarding, a_checked_request_stays_without_its_key)
{
  Bed bed;
  RequestState state;
  state.mRoute = bed.mEntry.mRouting.mRoutes[0];
  state.mRequest.mHeaders = { { "Key", kKey } };
  cr_assert_not(CheckAccount(bed.mEntry, state, Clock::now()).has_value());
  bed.mNext.mAccounts.clear();
  bed.Activate();
  cr_assert(IsHiddenFromTargets(bed.mEntry, state, { "key", kKey }));
  cr_assert_not(IsHiddenFromTargets(bed.mEntry, {}, { "key", kKey }));
}
