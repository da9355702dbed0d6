#include "http/listen.hpp"

namespace guavaline::detail {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

std::string ListenOn(tcp::acceptor& aAcceptor, const std::string& aAddress,
                     std::uint16_t aPort)
{
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(aAddress, ec);
  if (ec) {
    return aAddress + " is not an IP number";
  }
  const tcp::endpoint endpoint(address, aPort);
  aAcceptor.open(endpoint.protocol(), ec);
  aAcceptor.set_option(asio::socket_base::reuse_address(true), ec);
  aAcceptor.bind(endpoint, ec);
  if (!ec) {
    aAcceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return "listen " + aAddress + ":" + std::to_string(aPort) + ": " +
           ec.message();
  }
  return {};
}

} // namespace guavaline::detail
