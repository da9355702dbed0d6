#pragma once

/// Forwards callers' requests to targets.

#include "daemon/node.hpp"

namespace guavaline::detail {

/// Path prefix of requests to services.
inline constexpr std::string_view kServicePrefix = "/v1/services/";

/// Answers one request to a service.
boost::asio::awaitable<HttpResponse> Forward(Node& aNode, HttpRequest aRequest);

/// Makes a refusal.
/// @param aRan     "no", "yes" or "unknown"
/// @param aReason  machine-readable word, such as "full"
[[nodiscard]] HttpResponse Refusal(unsigned aStatus, const char* aRan,
                                   const std::string& aReason);

} // namespace guavaline::detail
