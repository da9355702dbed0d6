#include "standin/held_port.hpp"

namespace guavaline::testing {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

HeldPort::HeldPort(asio::io_context& aContext, const std::string& aAddress,
                   std::uint16_t aPort, PortManner aManner)
  : mAcceptor(aContext)
  , mFiller(aContext)
{
  const tcp::endpoint endpoint(asio::ip::make_address(aAddress), aPort);
  mAcceptor.open(endpoint.protocol());
  mAcceptor.set_option(asio::socket_base::reuse_address(true));
  mAcceptor.bind(endpoint);
  if (aManner == PortManner::Silent) {
    mAcceptor.listen(0);
    // Another connection may fill the backlog first; this one then waits.
    mFiller.async_connect(endpoint, [](const boost::system::error_code&) {});
  }
}

} // namespace guavaline::testing
