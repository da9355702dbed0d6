#include "entry/accounts.hpp"

#include <algorithm>

namespace guavaline::detail {

namespace {

/// A view that lost its confirmation regains it at the next call to the store
/// or message from another entry.
constexpr Millis kRetryAfterUnconfirmed{ 500 };
/// Only another configuration can allow a region; an earlier retry is useless.
constexpr Millis kRetryAfterNoRegion{ 1'000 };

/// @returns the key that a request names; nothing where it names none, or more
///          than one, of which targets might take another one than the entry
std::optional<std::string_view> KeyOf(const HttpRequest& aRequest,
                                      const std::string& aName)
{
  const auto isCredentials = [&](const Header& a) {
    return SameName(a.mName, aName);
  };
  const auto& headers = aRequest.mHeaders;
  if (std::count_if(headers.begin(), headers.end(), isCredentials) != 1) {
    return std::nullopt;
  }
  return ReadCredentials(FindHeader(headers, aName));
}

HttpResponse Unauthorized(const Entry& aEntry, const RequestState& aState)
{
  auto out = Fail(aEntry, aState, 401, "unknown or missing key");
  // RFC 9110 requires a challenge with every 401.
  out.mHeaders.push_back({ "WWW-Authenticate", "Bearer" });
  return out;
}

} // namespace

void TakeAccounts(Entry& aEntry, const RoutingTable& aNext)
{
  for (const auto& [name, account] : aEntry.mRouting.mAccounts) {
    if (aNext.mAccounts.count(name) == 0) {
      // No route has such a name: only counters are dropped.
      const auto labels = "account=\"" + name + "\"";
      aEntry.mMetrics.Forget(labels, labels);
    }
  }
  aEntry.mAccountIndex = IndexAccounts(aNext.mAccounts);
  const auto& shared = aEntry.mAccountIndex.mShared;
  if (!shared.empty()) {
    Log(LogLevel::Warning, "account_keys_shared",
        { { "version", std::to_string(aNext.mVersion) },
          { "keys", std::to_string(shared.size()) },
          { "holder", shared.front().mHolder },
          { "other", shared.front().mOther } });
  }
}

std::optional<AccountRefusal> CheckAccount(Entry& aEntry, RequestState& aState,
                                           TimePoint aNow)
{
  if (aEntry.mRouting.mAccounts.empty()) {
    return std::nullopt;
  }
  aState.mHidesKey = true;
  const auto confirmed = aEntry.mFollows[ObjectKind::Routing].mView.mConfirmed;
  const AccountQuery query{
    aState.mRoute,
    KeyOf(aState.mRequest, aEntry.mPlatform.mHeaders.mCredentials),
    IsConfirmed(confirmed, aEntry.mSettings.mBounds.mRoutingAge, aNow)
  };
  auto decision = JudgeRequest(aEntry.mAccountIndex, query);
  if (decision.mAccount) {
    aState.mAccount = decision.mAccount->mName;
  }
  switch (decision.mVerdict) {
    case AccountVerdict::UnknownKey:
      return AccountRefusal{ Unauthorized(aEntry, aState), "unknown_key" };
    case AccountVerdict::KeyUnconfirmed:
      return AccountRefusal{ Reject(aEntry, aState, kRetryAfterUnconfirmed,
                                    "key_unconfirmed"),
                             "key_unconfirmed" };
    case AccountVerdict::NoRegion:
      return AccountRefusal{
        Reject(aEntry, aState, kRetryAfterNoRegion, "no_region"), "no_region"
      };
    case AccountVerdict::Admitted:
      break;
  }
  aState.mRoute.mRegions = std::move(decision.mRegions);
  aState.mRoute.mPriority = decision.mPriority;
  return std::nullopt;
}

bool IsHiddenFromTargets(const Entry& aEntry, const RequestState& aState,
                         const Header& aHeader)
{
  // A configuration with accounts may have come since the request was checked.
  const bool hides = aState.mHidesKey || !aEntry.mRouting.mAccounts.empty();
  const auto& names = aEntry.mPlatform.mHeaders;
  return hides && (SameName(aHeader.mName, names.mCredentials) ||
                   SameName(aHeader.mName, names.mAccount));
}

} // namespace guavaline::detail
