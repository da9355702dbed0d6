#include "cluster/ports.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace guavaline::testing {

namespace {

/// Below the range from which the system takes ports of outgoing connections,
/// which would take a port between its choice and its use.
constexpr std::uint16_t kFirstPort = 20'000;
constexpr std::uint16_t kLastPort = 32'000;

} // namespace

PortPicker::PortPicker()
  : mRandom(std::random_device()())
{
}

std::uint16_t PortPicker::Pick(const std::string& aAddress)
{
  using boost::asio::ip::tcp;
  boost::asio::io_context context;
  std::uniform_int_distribution<std::uint16_t> ports(kFirstPort, kLastPort);
  while (true) {
    const auto port = ports(mRandom);
    tcp::acceptor acceptor(context, tcp::v4());
    boost::system::error_code ec;
    acceptor.bind({ boost::asio::ip::make_address(aAddress), port }, ec);
    if (!ec && mPicked.emplace(aAddress, port).second) {
      return port;
    }
  }
}

} // namespace guavaline::testing
