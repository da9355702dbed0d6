/// The daemon of an entry host on the users' platform.

#include "adapter.hpp"
#include "entry/entry.hpp"
#include "settings.hpp"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <iostream>

namespace {

constexpr int kExitBadSettings = 2;
constexpr const char* kSettingsVariable = "GUAVALINE_CONFIG";

} // namespace

int main(int argc, char** argv)
{
  using namespace guavaline;
  CLI::App app("Entry host of guavaline on the users' platform: answers "
               "look-ups and forwards requests to targets.");
  std::string path;
  std::uint16_t metricsPort = 0;
  bool checkOnly = false;
  app.set_version_flag("--version", GUAVALINE_VERSION);
  app.add_option("-s,--settings", path, "Settings file")
    ->envname(kSettingsVariable)
    ->required();
  app.add_option("--metrics-port", metricsPort,
                 "Port for metrics on the host's address; 0 for none");
  app.add_flag("--check", checkOnly, "Check the settings and exit");
  CLI11_PARSE(app, argc, argv);

  detail::EntrySettings settings;
  const auto problems = platform::ReadSettings(path, metricsPort, settings);
  for (const auto& it : problems) {
    std::cerr << "guavaline-entry: " << it.Describe() << '\n';
  }
  if (!problems.empty()) {
    return kExitBadSettings;
  }
  if (checkOnly) {
    return 0;
  }
  detail::StartStdoutLog(settings.mName);
  boost::asio::io_context context(1);
  detail::HttpClient storeHttp(context.get_executor());
  auto adapter = platform::MakeAdapter({ storeHttp, settings.mStore });
  adapter.mReadSettings = [path, metricsPort](detail::EntrySettings& a) {
    return platform::ReadSettings(path, metricsPort, a);
  };
  detail::Entry entry(context, std::move(settings), std::move(adapter));
  return detail::RunEntry(context, entry);
}
