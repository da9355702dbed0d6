#pragma once

/// Slots at the start and the end of an entry: what an earlier life lent is
/// recalled, and what a stopping entry owns is offered to its peers.

#include "daemon/node.hpp"

namespace guavaline::detail {

/// @returns how long slots rest at most after a start: until then a loan of
///          an earlier life may be alive
[[nodiscard]] Millis LongestLoan(const Service& aService) noexcept;

/// Asks every peer what an earlier life of this entry lent to it. The owned
/// slots rest until each has answered, is known to run no process, or cannot
/// hold a loan any longer.
boost::asio::awaitable<void> RecallLoans(Node& aNode);

/// Gives a part of this entry's slots to its peers before it stops.
/// @param aPart  part of the owned slots that should be with peers, 0 to 1
boost::asio::awaitable<void> OfferSlots(Node& aNode, double aPart);

/// Answers a peer that has started anew.
[[nodiscard]] std::string AnswerRecall(Node& aNode, const std::string& aBody);

/// Takes slots of a peer that is about to stop.
[[nodiscard]] std::string AnswerOffer(Node& aNode, const std::string& aBody);

} // namespace guavaline::detail
