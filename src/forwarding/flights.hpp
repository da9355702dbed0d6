#pragma once

/// Runs non-idempotent requests at most once. Each runs apart from its
/// caller's connection, so that a caller that leaves and sends it again gets
/// the outcome.

#include "forwarding/exchange.hpp"

namespace guavaline::detail {

/// Starts the call's flight, or joins the one under way for its identity.
/// @returns the answer for this caller
boost::asio::awaitable<HttpResponse> JoinFlight(Node& aNode, Call aCall);

} // namespace guavaline::detail
