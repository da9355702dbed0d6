#include "cluster/ports.hpp"

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
