#pragma once

/// The questionnaire that a team answers and the configuration made of it.

#include <guavaline/configuration/model.hpp>
#include <guavaline/core/error.hpp>

#include <string>
#include <vector>

namespace guavaline {

/// What a team cares about most.
enum class Weight {
  Latency = 1,
  DrainTime,
};

/// What lies between every two regions.
struct LinkAnswer
{
  Millis mOneWayDelay{ 0 };
  BitRate mCapacity{};
};

/// Targets with consecutive ports at one address.
struct TargetGroup
{
  std::string mRegion;
  std::string mFailureDomain;
  std::uint32_t mCount = 0;
  std::string mAddress;
  std::uint16_t mFirstPort = 0;
};

/// What a team says of one service.
struct ServiceAnswer
{
  std::string mName;
  std::uint32_t mSlotsPerTarget = 0;
  Millis mCheckWithin{ 2'000 };
  Millis mConfirmWithin{ 5'000 };
  Millis mUploadWithin{ 20'000 };
  double mShiftPercentPerMinute = 20;
  Millis mWarmUp{ 30'000 };
  std::vector<TargetGroup> mTargetGroups;
};

/// A whole answered questionnaire.
struct Answers
{
  std::string mDeployment;
  Weight mMattersMost = Weight::Latency;
  std::vector<Region> mRegions;
  LinkAnswer mBetweenRegions;
  std::vector<EntryHost> mEntries;
  std::vector<ServiceAnswer> mServices;
};

/// Reads answers from YAML text.
/// @param aFile  file name for messages
/// @param aText  the YAML text
/// @param aOut   receives the answers
/// @returns the problems found
[[nodiscard]] Problems ReadAnswers(const std::string& aFile,
                                   const std::string& aText, Answers& aOut);

/// Makes a configuration; the same answers always give the same result.
[[nodiscard]] Configuration Generate(const Answers& aAnswers);

/// @returns an identity of the content, the change identity left out
[[nodiscard]] std::string ContentId(const Configuration& aConfiguration);

/// Writes a configuration as commented YAML.
[[nodiscard]] std::string ToYaml(const Configuration& aConfiguration);

/// Reads a configuration from YAML text.
[[nodiscard]] Problems ReadConfiguration(const std::string& aFile,
                                         const std::string& aText,
                                         Configuration& aOut);

/// Writes a configuration as the store holds it.
[[nodiscard]] std::string ToStored(const Configuration& aConfiguration);

/// Reads a configuration as the store holds it.
[[nodiscard]] Problems FromStored(const std::string& aText,
                                  Configuration& aOut);

/// Lists the fields that differ, as "field: old -> new".
[[nodiscard]] std::vector<std::string> Differences(const Configuration& aOld,
                                                   const Configuration& aNew);

} // namespace guavaline
