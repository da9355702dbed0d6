#pragma once

/// Client accounts at an entry: the index of their keys, the check of each
/// request, and which headers targets get.

#include "entry/request_state.hpp"

namespace guavaline::detail {

/// Prepares for the accounts of a configuration that is about to come into
/// force: indexes their keys and drops the counters of accounts that are gone.
void TakeAccounts(Entry& aEntry, const RoutingTable& aNext);

/// A request that its client account, or the lack of one, rules out.
struct AccountRefusal
{
  HttpResponse mResponse;
  const char* mReason = "";
};

/// Finds the account of a request whose route is set, and applies its regions
/// and priority to the request's copy of the route. Without accounts in the
/// configuration it does nothing.
/// @returns nothing where the request may be served
[[nodiscard]] std::optional<AccountRefusal> CheckAccount(Entry& aEntry,
                                                         RequestState& aState,
                                                         TimePoint aNow);

/// @returns true for a caller's header that must not reach a target: the key,
///          and a claim to be an account
[[nodiscard]] bool IsHiddenFromTargets(const Entry& aEntry,
                                       const RequestState& aState,
                                       const Header& aHeader);

} // namespace guavaline::detail
