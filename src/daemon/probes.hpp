#pragma once

/// Probes of targets' health endpoints.

#include "daemon/node.hpp"

namespace guavaline::detail {

/// Probes every target in turn; runs until the process stops.
boost::asio::awaitable<void> ProbeTargets(Node& aNode);

} // namespace guavaline::detail
