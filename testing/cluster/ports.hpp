#pragma once

/// Ports for test deployments.

#include <cstdint>
#include <set>
#include <string>
#include <utility>

namespace guavaline::testing {

/// Picks ports that are free on an address, none of them twice.
class PortPicker
{
public:
  [[nodiscard]] std::uint16_t Pick(const std::string& aAddress);

private:
  std::set<std::pair<std::string, std::uint16_t>> mPicked;
};

} // namespace guavaline::testing
