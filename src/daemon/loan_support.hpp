#pragma once

/// What borrowing and handing over of slots have in common.

#include "daemon/node.hpp"
#include "peers/messages.hpp"

namespace guavaline::detail {

/// Time for a peer to answer a call about loans.
inline constexpr Millis kLoanCallTimeout{ 500 };

/// @returns the state of a service, or null
[[nodiscard]] ServiceState* FindState(Node& aNode, const std::string& aService);

/// @returns the region of a target
[[nodiscard]] const std::string& RegionOf(const ServiceState& aState,
                                          std::uint32_t aTarget);

/// @returns the usable owned slots of a region, lent or not
[[nodiscard]] std::uint32_t OwnedIn(const ServiceState& aState,
                                    const std::string& aRegion);

/// True for a loan given before the lender started anew and recalled it.
[[nodiscard]] bool IsOfEarlierLife(const Node& aNode,
                                   const std::string& aLender,
                                   std::uint64_t aIncarnation);

/// @returns loans as messages carry them
[[nodiscard]] std::vector<LentSlot> ToWire(const std::vector<Loan>& aLoans);

/// Lends slots of one region unasked.
/// @returns the message that says so; nothing where no slot can be lent
[[nodiscard]] std::optional<OfferMessage> MakeOffer(Node& aNode,
                                                    ServiceState& aState,
                                                    const LendQuery& aQuery);

/// Sends an offer; where the answer is lost, the slots count as lent until
/// the loan ends.
boost::asio::awaitable<void> SendOffer(Node& aNode, std::string aPeer,
                                       OfferMessage aMessage);

} // namespace guavaline::detail
