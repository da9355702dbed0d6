/// The daemon of an entry host.

#include "daemon/node.hpp"

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

constexpr int kExitBadSettings = 2;

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("Entry host of guavaline: answers look-ups and forwards "
               "requests to targets.");
  std::string path;
  bool checkOnly = false;
  app.set_version_flag("--version", GUAVALINE_VERSION);
  app.add_option("-s,--settings", path, "Settings file (YAML)")->required();
  app.add_flag("--check", checkOnly, "Check the settings and exit");
  CLI11_PARSE(app, argc, argv);

  guavaline::detail::Settings settings;
  const auto problems = guavaline::detail::LoadSettings(path, settings);
  for (const auto& it : problems) {
    std::cerr << "guavalined: " << it.Describe() << '\n';
  }
  if (!problems.empty()) {
    return kExitBadSettings;
  }
  if (checkOnly) {
    return 0;
  }
  return guavaline::detail::RunNode(std::move(settings));
}
