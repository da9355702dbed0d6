#pragma once

/// A port that answers no attempt to connect, as one of a host without power.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace guavaline::testing {

class SilentPort
{
public:
  /// Throws where the port cannot be held.
  SilentPort(boost::asio::io_context& aContext, const std::string& aAddress,
             std::uint16_t aPort);

private:
  boost::asio::ip::tcp::acceptor mAcceptor;
  /// Fills the backlog; the system drops further connections' first packets.
  boost::asio::ip::tcp::socket mFiller;
};

} // namespace guavaline::testing
