#include "cluster/ports.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace guavaline::testing {

std::uint16_t PortPicker::Pick(const std::string& aAddress)
{
  using boost::asio::ip::tcp;
  boost::asio::io_context context;
  while (true) {
    // The system may name a port again once its socket is closed.
    const tcp::acceptor acceptor(
      context, { boost::asio::ip::make_address(aAddress), 0 });
    const auto port = acceptor.local_endpoint().port();
    if (mPicked.emplace(aAddress, port).second) {
      return port;
    }
  }
}

} // namespace guavaline::testing
