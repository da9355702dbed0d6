#include "cluster/ports.hpp"

#include "http/listen.hpp"

#include <criterion/criterion.h>

#include <set>

using namespace guavaline::testing;

// A deployment that is given a port twice cannot start.
Test(ports, no_port_is_picked_twice_on_an_address)
{
  constexpr std::size_t kPorts = 2'000;
  PortPicker picker;
  std::set<std::uint16_t> ports;
  for (std::size_t n = 0; n < kPorts; ++n) {
    ports.insert(picker.Pick("127.0.0.1"));
  }
  cr_assert_eq(ports.size(), kPorts);
}

// Guards against "Address already in use": another test program, or another
// deployment, drew the same port before the first one listened on it.
Test(ports, a_port_is_held_for_its_listener_alone)
{
  constexpr const char* kAddress = "127.0.0.1";
  PortPicker picker;
  const auto port = picker.Pick(kAddress);
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor other(context, boost::asio::ip::tcp::v4());
  boost::system::error_code ec;
  other.bind({ boost::asio::ip::make_address(kAddress), port }, ec);
  cr_assert(ec == boost::asio::error::address_in_use);
  boost::asio::ip::tcp::acceptor own(context);
  const auto problem = guavaline::detail::ListenOn(own, kAddress, port);
  cr_assert(problem.empty(), "%s", problem.c_str());
}
