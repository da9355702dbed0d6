#pragma once

/// Ports for test deployments.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace guavaline::testing {

/// Picks ports that are free on an address. They stay bound while the picker
/// lives, so that neither another picker nor an outgoing connection takes them
/// before they are listened on.
class PortPicker
{
public:
  PortPicker();
  [[nodiscard]] std::uint16_t Pick(const std::string& aAddress);

private:
  std::mt19937 mRandom;
  boost::asio::io_context mContext;
  std::vector<boost::asio::ip::tcp::acceptor> mHeld;
};

} // namespace guavaline::testing
