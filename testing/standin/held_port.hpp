#pragma once

/// A port of a program that has ended, kept from others meanwhile.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace guavaline::testing {

/// What becomes of attempts to connect.
enum class PortManner {
  Refuses = 1,
  Silent, ///< They get no answer, as from a host without power.
};

class HeldPort
{
public:
  /// Throws where the port cannot be held.
  HeldPort(boost::asio::io_context& aContext, const std::string& aAddress,
           std::uint16_t aPort, PortManner aManner);

private:
  boost::asio::ip::tcp::acceptor mAcceptor;
  /// Fills the backlog; the system drops further connections' first packets.
  boost::asio::ip::tcp::socket mFiller;
};

} // namespace guavaline::testing
