#pragma once

/// Loans of idle slots between entries.

#include "daemon/node.hpp"

namespace guavaline::detail {

/// @returns how long slots rest at most after a start: until then a loan of
///          an earlier life may be alive
[[nodiscard]] Millis LongestLoan(const Service& aService) noexcept;

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

/// Asks every peer what an earlier life of this entry lent to it. The owned
/// slots rest until each has answered, is known to run no process, or cannot
/// hold a loan any longer.
boost::asio::awaitable<void> RecallLoans(Node& aNode);

/// Gives a part of this entry's slots to its peers before it stops.
/// @param aPart  part of the owned slots that should be with peers, 0 to 1
boost::asio::awaitable<void> OfferSlots(Node& aNode, double aPart);

/// Answers a peer that asks for slots.
[[nodiscard]] std::string AnswerBorrow(Node& aNode, const std::string& aBody);

/// Takes slots back from a peer.
[[nodiscard]] std::string AnswerReturn(Node& aNode, const std::string& aBody);

/// Answers a peer that has started anew.
[[nodiscard]] std::string AnswerRecall(Node& aNode, const std::string& aBody);

/// Takes slots of a peer that is about to stop.
[[nodiscard]] std::string AnswerOffer(Node& aNode, const std::string& aBody);

} // namespace guavaline::detail
