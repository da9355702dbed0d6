#include "cluster/ports.hpp"

namespace guavaline::testing {

using boost::asio::ip::tcp;

namespace {

/// Below the range from which the system takes ports of outgoing connections.
constexpr std::uint16_t kFirstPort = 20'000;
constexpr std::uint16_t kLastPort = 32'000;

} // namespace

PortPicker::PortPicker()
  : mRandom(std::random_device()())
{
}

std::uint16_t PortPicker::Pick(const std::string& aAddress)
{
  std::uniform_int_distribution<std::uint16_t> ports(kFirstPort, kLastPort);
  while (true) {
    const auto port = ports(mRandom);
    tcp::acceptor held(mContext, tcp::v4());
    boost::system::error_code ec;
    held.bind({ boost::asio::ip::make_address(aAddress), port }, ec);
    if (ec) {
      continue;
    }
    // From here on a listener may share the port; another picker, which binds
    // without this option, may not.
    held.set_option(tcp::acceptor::reuse_address(true));
    mHeld.push_back(std::move(held));
    return port;
  }
}

} // namespace guavaline::testing
