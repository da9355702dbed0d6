#include "operator/commands.hpp"

#include "codec/yaml.hpp"
#include "daemon/settings.hpp"
#include "daemon/status_wire.hpp"

#include <guavaline/configuration/check.hpp>
#include <guavaline/configuration/questionnaire.hpp>
#include <guavaline/steering/drain_plan.hpp>

#include <algorithm>
#include <fstream>
#include <ostream>

namespace guavaline::detail {
namespace {

constexpr double kPercent = 100;

WallTime PresentTime()
{
  return std::chrono::floor<Seconds>(std::chrono::system_clock::now());
}

leaf::result<void> WriteFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream out(aPath);
  out << aText;
  out.flush();
  if (!out) {
    return leaf::new_error(Error{ "write", aPath, "cannot be written" });
  }
  return {};
}

void ShowLines(const std::vector<std::string>& aLines, std::ostream& aOut)
{
  for (const auto& it : aLines) {
    aOut << "  " << it << '\n';
  }
}

/// Applies a changed configuration and brings it into force.
leaf::result<ExitCode> Change(const CommandOptions& aOptions,
                              const AcceptedConfiguration& aBase,
                              Configuration aNew, std::ostream& aOut)
{
  aNew.mChangeId = ContentId(aNew);
  auto problems = Check(aNew);
  if (!problems.empty()) {
    return leaf::new_error(BadInput{ std::move(problems) });
  }
  BOOST_LEAF_AUTO(applied, Apply(aOptions.mTarget, aBase, aNew));
  aOut << (applied.mUnchanged ? "unchanged" : "accepted") << " version "
       << applied.mVersion << '\n';
  const auto count =
    PushToEntries(aOptions.mTarget, { applied.mVersion, aNew });
  aOut << "in force on " << count.mInForce << " of " << count.mEntries
       << " hosts\n";
  for (const auto& it : count.mMissing) {
    aOut << "  not yet: " << it << '\n';
  }
  return count.mMissing.empty() ? ExitCode::Done : ExitCode::NotInForce;
}

leaf::result<AcceptedConfiguration> NeedAccepted(const OperatorTarget& aTarget)
{
  BOOST_LEAF_AUTO(accepted, ReadAccepted(aTarget));
  if (accepted.mVersion == 0) {
    return leaf::new_error(
      Error{ "read", aTarget.mStore.Text(), "holds no configuration yet" });
  }
  return accepted;
}

HttpRequest OperatorGet(const OperatorTarget& aTarget, const char* aPath)
{
  HttpRequest out;
  out.mTarget = aPath;
  out.mHeaders = { { "Authorization", "Bearer " + aTarget.mKey } };
  return out;
}

void ShowService(const ServiceStatus& aStatus, std::ostream& aOut)
{
  for (const auto& it : aStatus.mRegions) {
    aOut << "    " << aStatus.mService << " in " << it.mRegion << ": "
         << it.mInUse << " of " << it.mUsable << " slots in use, "
         << it.mTargets << " targets serve\n";
  }
  for (const auto& line : aStatus.mShares) {
    aOut << "    " << aStatus.mService << " from " << line.mPlace << ":";
    for (const auto& [region, share] : line.mByRegion) {
      aOut << ' ' << region << ' ' << share * kPercent << '%';
    }
    aOut << '\n';
  }
}

void ShowStatus(const NodeStatus& aStatus, std::ostream& aOut)
{
  aOut << aStatus.mName << ": version " << aStatus.mVersion
       << (aStatus.mLeaving ? ", leaving" : "") << '\n';
  for (const auto& it : aStatus.mMembers) {
    if (it.mStatus != "alive") {
      aOut << "    sees " << it.mName << " as " << it.mStatus << '\n';
    }
  }
  for (const auto& it : aStatus.mServices) {
    ShowService(it, aOut);
  }
  for (const auto& it : aStatus.mDrains) {
    aOut << "    drain " << it.mName << " of " << it.mService << ": "
         << it.mState << ", starts " << it.mStart << ", empty by " << it.mBy
         << '\n';
  }
}

bool ShowForecast(const Drain& aDrain,
                  const std::vector<DrainForecast>& aForecast,
                  std::ostream& aOut)
{
  bool fits = true;
  for (const auto& it : aForecast) {
    fits = fits && it.mFits;
    aOut << it.mService << ": " << (it.mFits ? "fits" : "does not fit")
         << ", starts " << FormatWallTime(it.mStart) << ", empty by "
         << FormatWallTime(aDrain.mBy) << ", "
         << static_cast<int>(it.mSlotsLeft * kPercent)
         << "% of the slots are left";
    if (!it.mFits) {
      aOut << ", earliest possible --by " << FormatWallTime(it.mEarliestBy);
    }
    aOut << '\n';
  }
  return fits;
}

} // namespace

leaf::result<ExitCode> GenerateCommand(const std::string& aAnswersPath,
                                       const std::string& aOutPath,
                                       std::ostream& aOut)
{
  Problems problems;
  Answers answers;
  const auto text = ReadFile(aAnswersPath, problems);
  if (text) {
    problems = ReadAnswers(aAnswersPath, *text, answers);
  }
  Configuration configuration;
  if (problems.empty()) {
    configuration = Generate(answers);
    problems = Check(configuration);
  }
  if (!problems.empty()) {
    return leaf::new_error(BadInput{ std::move(problems) });
  }
  if (aOutPath.empty()) {
    aOut << ToYaml(configuration);
    return ExitCode::Done;
  }
  Configuration old;
  Problems unused;
  const auto present = ReadFile(aOutPath, unused);
  if (present && ReadConfiguration(aOutPath, *present, old).empty()) {
    ShowLines(Differences(old, configuration), aOut);
  }
  auto written = WriteFile(aOutPath, ToYaml(configuration));
  if (!written) {
    return written.error();
  }
  aOut << "wrote " << aOutPath << '\n';
  return ExitCode::Done;
}

leaf::result<ExitCode> CheckCommand(const std::string& aPath,
                                    std::ostream& aOut)
{
  BOOST_LEAF_AUTO(configuration, LoadConfiguration(aPath));
  std::size_t targets = 0;
  for (const auto& it : configuration.mServices) {
    targets += it.mTargets.size();
  }
  aOut << aPath << ": whole: " << configuration.mRegions.size() << " regions, "
       << configuration.mEntries.size() << " entries, "
       << configuration.mServices.size() << " services, " << targets
       << " targets\n";
  return ExitCode::Done;
}

leaf::result<ExitCode> ApplyCommand(const CommandOptions& aOptions,
                                    const std::string& aPath, bool aDryRun,
                                    std::ostream& aOut)
{
  BOOST_LEAF_AUTO(configuration, LoadConfiguration(aPath));
  BOOST_LEAF_AUTO(accepted, ReadAccepted(aOptions.mTarget));
  if (configuration.mDrains.empty()) {
    configuration.mDrains = accepted.mConfiguration.mDrains;
  }
  configuration.mChangeId = ContentId(configuration);
  ShowLines(Differences(accepted.mConfiguration, configuration), aOut);
  if (aDryRun) {
    return ExitCode::Done;
  }
  return Change(aOptions, accepted, configuration, aOut);
}

leaf::result<ExitCode> StatusCommand(const CommandOptions& aOptions,
                                     std::ostream& aOut)
{
  BOOST_LEAF_AUTO(accepted, NeedAccepted(aOptions.mTarget));
  auto code = ExitCode::Done;
  if (!aOptions.mJson) {
    aOut << "accepted version " << accepted.mVersion << '\n';
  }
  for (const auto& it : accepted.mConfiguration.mEntries) {
    const auto result = ExchangeNow({ it.mAddress, it.mPort },
                                    OperatorGet(aOptions.mTarget, "/v1/status"),
                                    aOptions.mTarget.mTimeout);
    NodeStatus status;
    const bool understood =
      result.mResponse && FromJson(result.mResponse->mBody, status).empty();
    if (aOptions.mJson && understood) {
      aOut << result.mResponse->mBody << '\n';
    } else if (understood) {
      ShowStatus(status, aOut);
    } else {
      aOut << it.mName << ": no answer: "
           << (result.mResponse
                 ? "status " + std::to_string(result.mResponse->mStatus)
                 : result.mError.Describe())
           << '\n';
      code = ExitCode::Failed;
    }
  }
  return code;
}

leaf::result<ExitCode> MetricsCommand(const CommandOptions& aOptions,
                                      std::ostream& aOut)
{
  BOOST_LEAF_AUTO(accepted, NeedAccepted(aOptions.mTarget));
  for (const auto& it : accepted.mConfiguration.mEntries) {
    const auto result = ExchangeNow({ it.mAddress, it.mPort },
                                    OperatorGet(aOptions.mTarget, "/metrics"),
                                    aOptions.mTarget.mTimeout);
    aOut << "# " << it.mName << '\n';
    aOut << (result.mResponse ? result.mResponse->mBody
                              : "# " + result.mError.Describe() + "\n");
  }
  return ExitCode::Done;
}

leaf::result<ExitCode> SettingsCommand(const CommandOptions& aOptions,
                                       const std::string& aPath,
                                       const std::string& aDirectory,
                                       bool aFaultInjection, std::ostream& aOut)
{
  BOOST_LEAF_AUTO(configuration, LoadConfiguration(aPath));
  for (const auto& it : configuration.mEntries) {
    Settings settings;
    settings.mName = it.mName;
    settings.mAddress = it.mAddress;
    settings.mPort = it.mPort;
    settings.mPeerPort = it.mPeerPort;
    settings.mRegion = it.mRegion;
    settings.mFailureDomain = it.mFailureDomain;
    settings.mStore = aOptions.mTarget.mStore.Text();
    settings.mKey = aOptions.mTarget.mKey;
    settings.mFaultInjection = aFaultInjection;
    for (const auto& seed : configuration.mEntries) {
      if (seed.mName != it.mName) {
        settings.mSeeds.push_back(seed.mAddress + ":" +
                                  std::to_string(seed.mPeerPort));
      }
    }
    const auto file = aDirectory + "/" + it.mName + ".yaml";
    auto written = WriteFile(file, SettingsYaml(settings));
    if (!written) {
      return written.error();
    }
    aOut << "wrote " << file << '\n';
  }
  return ExitCode::Done;
}

leaf::result<ExitCode> DrainCommand(const CommandOptions& aOptions,
                                    const Drain& aDrain, bool aAnnounce,
                                    std::ostream& aOut)
{
  BOOST_LEAF_AUTO(accepted, NeedAccepted(aOptions.mTarget));
  auto configuration = accepted.mConfiguration;
  std::erase_if(configuration.mDrains,
                [&](const Drain& a) { return a.mName == aDrain.mName; });
  configuration.mDrains.push_back(aDrain);
  auto problems = Check(configuration);
  if (!problems.empty()) {
    return leaf::new_error(BadInput{ std::move(problems) });
  }
  if (aDrain.mScope == DrainScope::Region) {
    const auto forecast =
      ForecastDrain(accepted.mConfiguration, aDrain, PresentTime());
    if (!ShowForecast(aDrain, forecast, aOut)) {
      return leaf::new_error(DrainDoesNotFit{
        "it cannot end by " + FormatWallTime(aDrain.mBy) + " under the cap" });
    }
  }
  if (!aAnnounce) {
    return ExitCode::Done;
  }
  return Change(aOptions, accepted, std::move(configuration), aOut);
}

leaf::result<ExitCode> DrainListCommand(const CommandOptions& aOptions,
                                        std::ostream& aOut)
{
  BOOST_LEAF_AUTO(accepted, NeedAccepted(aOptions.mTarget));
  for (const auto& it : accepted.mConfiguration.mDrains) {
    aOut << it.mName << ": " << it.mPlace << " empty by "
         << FormatWallTime(it.mBy) << " until " << FormatWallTime(it.mUntil)
         << '\n';
  }
  return ExitCode::Done;
}

leaf::result<ExitCode> DrainCancelCommand(const CommandOptions& aOptions,
                                          const std::string& aName,
                                          std::ostream& aOut)
{
  BOOST_LEAF_AUTO(accepted, NeedAccepted(aOptions.mTarget));
  auto configuration = accepted.mConfiguration;
  const auto removed = std::erase_if(
    configuration.mDrains, [&](const Drain& a) { return a.mName == aName; });
  if (removed == 0) {
    return leaf::new_error(BadInput{ { { {},
                                         0,
                                         "name",
                                         "\"" + aName + "\"",
                                         "a drain that is announced" } } });
  }
  return Change(aOptions, accepted, std::move(configuration), aOut);
}

} // namespace guavaline::detail
