#pragma once

/// The HTTP interface to callers and operators.

#include "daemon/node.hpp"

namespace guavaline::detail {

/// Answers one HTTP request.
boost::asio::awaitable<HttpResponse> Answer(Node& aNode, HttpRequest aRequest);

} // namespace guavaline::detail
