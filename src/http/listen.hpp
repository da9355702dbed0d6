#pragma once

/// Opening of listening sockets.

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace guavaline::detail {

/// Makes an acceptor listen.
/// @param aAddress  IP number
/// @param aPort     port; 0 picks a free one
/// @returns an empty text, or the reason why it cannot listen
[[nodiscard]] std::string ListenOn(boost::asio::ip::tcp::acceptor& aAcceptor,
                                   const std::string& aAddress,
                                   std::uint16_t aPort);

} // namespace guavaline::detail
