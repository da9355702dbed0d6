/// The operators' command line.

#include "operator/commands.hpp"
#include "operator/interview.hpp"
#include "operator/where.hpp"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>

namespace {

using namespace guavaline;
using namespace guavaline::detail;

/// Options as they are written on the command line.
struct Arguments
{
  std::string mStore = "127.0.0.1:7000";
  std::string mKey;
  std::string mOutput = "text";
  std::string mFile;
  std::string mOut;
  bool mDryRun = false;
  bool mFaultInjection = false;
  std::string mName;
  std::string mScope = "region";
  std::string mPlace;
  std::string mBy;
  std::string mUntil;
  std::vector<std::string> mLogs;
  WhereQuestion mWhere;
};

using Command = std::function<leaf::result<ExitCode>()>;

leaf::result<CommandOptions> MakeOptions(const Arguments& aArguments)
{
  CommandOptions out;
  const auto store = ParseEndpoint(aArguments.mStore);
  if (!store) {
    return leaf::new_error(BadInput{
      { { {}, 0, "--store", "\"" + aArguments.mStore + "\"", "IP:PORT" } } });
  }
  out.mTarget.mStore = *store;
  out.mTarget.mKey = aArguments.mKey;
  out.mJson = aArguments.mOutput == "json";
  return out;
}

leaf::result<Drain> MakeDrain(const Arguments& aArguments)
{
  Problems problems;
  Drain out;
  out.mName = aArguments.mName;
  out.mPlace = aArguments.mPlace;
  const auto by = ParseWallTime(aArguments.mBy);
  const auto until = ParseWallTime(aArguments.mUntil);
  const char* allowed = "a UTC time such as 2026-12-20T18:00:00Z";
  if (!by) {
    problems.push_back(
      { {}, 0, "--by", "\"" + aArguments.mBy + "\"", allowed });
  }
  if (!until) {
    problems.push_back(
      { {}, 0, "--until", "\"" + aArguments.mUntil + "\"", allowed });
  }
  if (!problems.empty()) {
    return leaf::new_error(BadInput{ std::move(problems) });
  }
  out.mBy = *by;
  out.mUntil = *until;
  if (aArguments.mScope == "target") {
    out.mScope = DrainScope::Target;
  } else if (aArguments.mScope == "entry") {
    out.mScope = DrainScope::Entry;
  } else if (aArguments.mScope == "failure_domain") {
    out.mScope = DrainScope::FailureDomain;
  }
  return out;
}

leaf::result<ExitCode> AskQuestions(const Arguments& aArguments)
{
  const auto answers = Interview(std::cin, std::cout);
  if (!answers) {
    return leaf::new_error(
      Error{ "questionnaire", "terminal", "the input ended early" });
  }
  std::ofstream out(aArguments.mOut);
  out << AnswersYaml(*answers);
  out.flush();
  if (!out) {
    return leaf::new_error(
      Error{ "write", aArguments.mOut, "cannot be written" });
  }
  std::cout << "wrote " << aArguments.mOut << '\n';
  return ExitCode::Done;
}

int Report(const Command& aCommand)
{
  const auto code = leaf::try_handle_all(
    [&]() -> leaf::result<ExitCode> { return aCommand(); },
    [](const BadInput& a) {
      for (const auto& it : a.mProblems) {
        std::cerr << "guavaline: " << it.Describe() << '\n';
      }
      return ExitCode::BadInput;
    },
    [](const ApplyConflict& a) {
      std::cerr << "guavaline: somebody else changed the configuration; "
                   "nothing was applied\n";
      for (const auto& it : a.mTheirs) {
        std::cerr << "  theirs: " << it << '\n';
      }
      for (const auto& it : a.mOurs) {
        std::cerr << "  yours:  " << it << '\n';
      }
      return ExitCode::Conflict;
    },
    [](const DrainDoesNotFit& a) {
      std::cerr << "guavaline: the drain does not fit: " << a.mReason << '\n';
      return ExitCode::DoesNotFit;
    },
    [](const Error& a) {
      std::cerr << "guavaline: " << a.Describe() << '\n';
      return ExitCode::Failed;
    },
    [] {
      std::cerr << "guavaline: unknown failure\n";
      return ExitCode::Failed;
    });
  return static_cast<int>(code);
}

void AddDrainOptions(CLI::App& aApp, Arguments& aArguments)
{
  aApp.add_option("--name", aArguments.mName, "Name of the drain")->required();
  aApp.add_option("--scope", aArguments.mScope, "What is drained")
    ->check(CLI::IsMember({ "region", "failure_domain", "target", "entry" }));
  aApp.add_option("--place", aArguments.mPlace, "Name of the place")
    ->required();
  aApp.add_option("--by", aArguments.mBy, "UTC time by which it is empty")
    ->required();
  aApp
    .add_option("--until", aArguments.mUntil,
                "UTC time from which traffic may come back")
    ->required();
}

template<class F>
Command WithOptions(const Arguments& aArguments, F aBody)
{
  return [&aArguments, aBody]() -> leaf::result<ExitCode> {
    BOOST_LEAF_AUTO(options, MakeOptions(aArguments));
    return aBody(options);
  };
}

void AddDrains(CLI::App& aApp, Arguments& aArguments, Command& aCommand)
{
  auto* drain = aApp.add_subcommand("drain", "Plan and announce drains");
  drain->require_subcommand(1);
  for (const bool announce : { false, true }) {
    auto* sub = drain->add_subcommand(
      announce ? "announce" : "plan",
      announce ? "Announce a drain that fits"
               : "Say whether a drain fits, when it starts and ends");
    AddDrainOptions(*sub, aArguments);
    sub->callback([&aArguments, &aCommand, announce] {
      aCommand = WithOptions(
        aArguments,
        [&aArguments, announce](const auto& a) -> leaf::result<ExitCode> {
          BOOST_LEAF_AUTO(wanted, MakeDrain(aArguments));
          return DrainCommand(a, wanted, announce, std::cout);
        });
    });
  }
  drain->add_subcommand("list", "List announced drains")->callback([&] {
    aCommand = WithOptions(
      aArguments, [](const auto& a) { return DrainListCommand(a, std::cout); });
  });
  auto* cancel = drain->add_subcommand("cancel", "Take a drain back");
  cancel->add_option("--name", aArguments.mName)->required();
  cancel->callback([&] {
    aCommand = WithOptions(aArguments, [&aArguments](const auto& a) {
      return DrainCancelCommand(a, aArguments.mName, std::cout);
    });
  });
}

void AddFiles(CLI::App& aApp, Arguments& aArguments, Command& aCommand)
{
  auto* ask =
    aApp.add_subcommand("questionnaire", "Ask the questions at the terminal");
  ask->add_option("--out", aArguments.mOut, "File for the answers")->required();
  ask->callback([&] { aCommand = [&] { return AskQuestions(aArguments); }; });

  auto* generate = aApp.add_subcommand(
    "generate", "Make a configuration from answered questions");
  generate->add_option("answers", aArguments.mFile, "Answers (YAML)")
    ->required();
  generate->add_option("--out", aArguments.mOut,
                       "File for the configuration; shows what changes");
  generate->callback([&] {
    aCommand = [&] {
      return GenerateCommand(aArguments.mFile, aArguments.mOut, std::cout);
    };
  });

  auto* check = aApp.add_subcommand("check", "Check a configuration file");
  check->add_option("file", aArguments.mFile, "Configuration (YAML)")
    ->required();
  check->callback([&] {
    aCommand = [&] { return CheckCommand(aArguments.mFile, std::cout); };
  });

  auto* explain = aApp.add_subcommand(
    "explain", "Tell from entries' logs why a request ended as it did");
  explain->add_option("request", aArguments.mName, "Request id")->required();
  explain->add_option("logs", aArguments.mLogs, "Log files of entries")
    ->required();
  explain->callback([&] {
    aCommand = [&] {
      return ExplainCommand(aArguments.mName, aArguments.mLogs, std::cout);
    };
  });

  auto* settings = aApp.add_subcommand(
    "settings", "Write one settings file for each entry host");
  settings->add_option("file", aArguments.mFile, "Configuration (YAML)")
    ->required();
  settings->add_option("--out", aArguments.mOut, "Directory")->required();
  settings->add_flag("--fault-injection", aArguments.mFaultInjection,
                     "Open the fault switches, for tests");
  settings->callback([&] {
    aCommand = WithOptions(aArguments, [&](const auto& a) {
      return SettingsCommand(a, aArguments.mFile, aArguments.mOut,
                             aArguments.mFaultInjection, std::cout);
    });
  });
}

void AddFleet(CLI::App& aApp, Arguments& aArguments, Command& aCommand)
{
  auto* apply = aApp.add_subcommand(
    "apply", "Apply a configuration and bring it into force");
  apply->add_option("file", aArguments.mFile, "Configuration (YAML)")
    ->required();
  apply->add_flag("--dry-run", aArguments.mDryRun, "Show the changes only");
  apply->callback([&] {
    aCommand = WithOptions(aArguments, [&](const auto& a) {
      return ApplyCommand(a, aArguments.mFile, aArguments.mDryRun, std::cout);
    });
  });
  aApp.add_subcommand("status", "Show what every entry says of itself")
    ->callback([&] {
      aCommand = WithOptions(
        aArguments, [](const auto& a) { return StatusCommand(a, std::cout); });
    });
  aApp.add_subcommand("metrics", "Show every entry's metrics")->callback([&] {
    aCommand = WithOptions(
      aArguments, [](const auto& a) { return MetricsCommand(a, std::cout); });
  });
}

void AddWhere(CLI::App& aApp, Arguments& aArguments, Command& aCommand)
{
  auto& question = aArguments.mWhere;
  auto* where = aApp.add_subcommand(
    "where", "Ask an entry where a request would go now, without sending it");
  where->add_option("--entry", question.mEntry, "IP:PORT of its metrics")
    ->required();
  where->add_option("--host", question.mHost, "Host name of the request")
    ->required();
  where->add_option("--path", question.mPath, "Path of the request")
    ->required();
  where->add_option("--object", question.mObject, "Object of its cookie");
  where->add_option("--account", question.mAccount, "Name of the account");
  where->add_option("--limit-ms", question.mLimitMs, "Its time limit");
  where->callback([&question, &aCommand] {
    aCommand = [&question] { return WhereCommand(question, std::cout); };
  });
}

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("Operators' command of guavaline.\n"
               "Exit codes: 0 done, 1 store or host not reached, 2 bad input, "
               "3 conflict,\n4 drain does not fit, 5 accepted but not in force "
               "everywhere.");
  Arguments arguments;
  Command command;
  app.set_version_flag("--version", GUAVALINE_VERSION);
  app.add_option("--store", arguments.mStore, "IP:PORT of the platform's API")
    ->envname("GUAVALINE_STORE");
  app.add_option("--key", arguments.mKey, "Key shared with the entries")
    ->envname("GUAVALINE_KEY");
  app.add_option("--output", arguments.mOutput, "text or json")
    ->check(CLI::IsMember({ "text", "json" }));
  app.require_subcommand(1);
  app.fallthrough();
  AddFiles(app, arguments, command);
  AddFleet(app, arguments, command);
  AddDrains(app, arguments, command);
  AddWhere(app, arguments, command);
  CLI11_PARSE(app, argc, argv);
  return Report(command);
}
