#pragma once

/// Ports for test deployments.

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace guavaline::testing {

/// Picks ports that are free on an address, none of them twice.
class PortPicker
{
public:
  PortPicker();
  [[nodiscard]] std::uint16_t Pick(const std::string& aAddress);

private:
  std::mt19937 mRandom;
  std::set<std::pair<std::string, std::uint16_t>> mPicked;
};

} // namespace guavaline::testing
