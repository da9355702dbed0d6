#pragma once

/// How operators change the configuration: conditional update, settling of
/// lost answers, conflict reports.

#include "http/client.hpp"
#include "operator/failure.hpp"

#include <guavaline/configuration/model.hpp>

namespace guavaline::detail {

/// Where operators' commands go.
struct OperatorTarget
{
  Endpoint mStore;
  std::string mKey;
  Millis mTimeout{ 3'000 };
};

/// What an apply came to.
struct ApplyResult
{
  std::uint64_t mVersion = 0;
  bool mUnchanged = false; ///< The store held the same already.
};

/// Reads the accepted configuration.
/// @returns version 0 where the store holds none
[[nodiscard]] leaf::result<AcceptedConfiguration> ReadAccepted(
  const OperatorTarget& aTarget);

/// Reads and checks a configuration file.
[[nodiscard]] leaf::result<Configuration> LoadConfiguration(
  const std::string& aPath);

/// Writes a configuration if the store still holds what it was based on.
/// Where the answer is lost, reads back to learn whether it took effect.
/// @param aBase  the configuration that the change was made from
[[nodiscard]] leaf::result<ApplyResult> Apply(
  const OperatorTarget& aTarget, const AcceptedConfiguration& aBase,
  const Configuration& aNew);

/// How many entries have a version in force.
struct ForceCount
{
  std::size_t mInForce = 0;
  std::size_t mEntries = 0;
  std::vector<std::string> mMissing; ///< Names of those that do not say so.
};

/// Sends the configuration to every entry and counts those that have it.
[[nodiscard]] ForceCount PushToEntries(const OperatorTarget& aTarget,
                                       const AcceptedConfiguration& aAccepted);

} // namespace guavaline::detail
