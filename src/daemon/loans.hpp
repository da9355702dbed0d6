#pragma once

/// Loans of idle slots between entries.

#include "daemon/node.hpp"

namespace guavaline::detail {

/// Asks peers for slots of a region, unless a request is on its way or one
/// failed a moment ago.
void WantSlots(Node& aNode, const std::string& aService,
               const std::string& aRegion);

/// Wakes the first request that waits for a slot of a region.
void WakeWaiters(ServiceState& aState, const std::string& aRegion);

/// Lends a slot that has become idle to a peer that asked in vain lately.
void LendToAsker(Node& aNode, const std::string& aService,
                 const std::string& aRegion);

/// Gives idle loans back; runs until the process stops.
boost::asio::awaitable<void> ReturnIdleLoans(Node& aNode);

/// Answers a peer that asks for slots.
[[nodiscard]] std::string AnswerBorrow(Node& aNode, const std::string& aBody);

/// Takes slots back from a peer.
[[nodiscard]] std::string AnswerReturn(Node& aNode, const std::string& aBody);

} // namespace guavaline::detail
