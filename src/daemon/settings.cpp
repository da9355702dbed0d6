#include "daemon/settings.hpp"

#include "codec/yaml.hpp"

namespace guavaline::detail {

BOOST_DESCRIBE_STRUCT(Settings, (),
                      (mName, mAddress, mPort, mPeerPort, mRegion,
                       mFailureDomain, mStore, mKey, mSeeds, mLogLevel,
                       mFaultInjection))

namespace {

constexpr std::size_t kShortestKey = 16;

void CheckEndpoint(const std::string& aField, const std::string& aText,
                   Problems& aProblems)
{
  if (!ParseEndpoint(aText)) {
    aProblems.push_back(
      { {}, 0, aField, "\"" + aText + "\"", "IP:PORT, such as 10.0.0.5:7000" });
  }
}

} // namespace

Problems LoadSettings(const std::string& aPath, Settings& aOut)
{
  Problems problems;
  const auto text = ReadFile(aPath, problems);
  if (!text) {
    return problems;
  }
  Reader reader;
  const auto document = ParseYaml(*text, reader.Found());
  if (reader.Found().empty()) {
    Read(document.mValue, aOut, reader);
  }
  problems = std::move(reader.Found());
  if (problems.empty()) {
    CheckEndpoint("store", aOut.mStore, problems);
    for (std::size_t n = 0; n < aOut.mSeeds.size(); ++n) {
      CheckEndpoint("seeds[" + std::to_string(n) + "]", aOut.mSeeds[n],
                    problems);
    }
    if (!ParseEndpoint(aOut.mAddress + ":1")) {
      problems.push_back(
        { {}, 0, "address", "\"" + aOut.mAddress + "\"", "an IP number" });
    }
    if (aOut.mKey.size() < kShortestKey) {
      problems.push_back({ {},
                           0,
                           "key",
                           std::to_string(aOut.mKey.size()) + " characters",
                           "16 characters or more" });
    }
  }
  LocateProblems(aPath, document, problems);
  return problems;
}

std::string SettingsYaml(const Settings& aSettings)
{
  return EmitYaml(Write(aSettings), [](const std::string&) { return ""; });
}

} // namespace guavaline::detail
