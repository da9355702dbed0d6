#pragma once

/// Settings of one entry host.

#include "http/client.hpp"

#include <guavaline/core/error.hpp>

namespace guavaline::detail {

/// What an entry must know before it holds a configuration.
struct Settings
{
  std::string mName;    ///< Its name in the configuration.
  std::string mAddress; ///< Own IP number.
  std::uint16_t mPort = 0;
  std::uint16_t mPeerPort = 0;
  std::string mRegion;
  std::string mFailureDomain;
  std::string mStore;              ///< "IP:PORT" of the platform's API.
  std::string mKey;                ///< Shared by all entries and operators.
  std::vector<std::string> mSeeds; ///< "IP:PORT" of peers.
  std::string mLogLevel = "info";
  bool mFaultInjection = false; ///< Opens the fault switches, for tests.
};

/// Reads and checks a settings file.
/// @returns the problems found, each with file and line
[[nodiscard]] Problems LoadSettings(const std::string& aPath, Settings& aOut);

/// Writes settings as YAML.
[[nodiscard]] std::string SettingsYaml(const Settings& aSettings);

} // namespace guavaline::detail
