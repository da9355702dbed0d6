/// The commands as a new user would mistype them.

#include <boost/process/child.hpp>
#include <boost/process/io.hpp>

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace process = boost::process;

namespace {

struct Outcome
{
  int mCode = -1;
  std::string mErrors;
};

Outcome Run(const std::string& aProgram, const std::vector<std::string>& aArgs)
{
  process::ipstream errors;
  process::child child(aProgram, aArgs, process::std_out > process::null,
                       process::std_in<process::null, process::std_err> errors);
  std::ostringstream text;
  text << errors.rdbuf();
  child.wait();
  return { child.exit_code(), text.str() };
}

std::string TemporaryFile(const std::string& aName, const std::string& aText)
{
  const auto path = std::filesystem::temp_directory_path() /
                    ("guavaline-" + std::to_string(::getpid()) + aName);
  std::ofstream(path) << aText;
  return path;
}

std::string Example()
{
  std::ostringstream text;
  text << std::ifstream(GUAVALINE_ROOT "/examples/tussock.yaml").rdbuf();
  return text.str();
}

std::string SettingsWith(const std::string& aLine)
{
  return "name: a\naddress: 127.9.9.9\nport: 8080\npeer_port: 8081\n"
         "region: r\nfailure_domain: f\nkey: 0123456789abcdef\n" +
         aLine;
}

} // namespace

Test(command, a_typo_in_the_answers_names_file_line_and_field)
{
  auto text = Example();
  text.replace(text.find("check_within"), 12, "chekc_within");
  const auto path = TemporaryFile("answers.yaml", text);
  const auto out = Run(GUAVALINE_PATH, { "generate", path });
  cr_assert_eq(out.mCode, 2);
  cr_assert_neq(out.mErrors.find(path + ":"), std::string::npos);
  cr_assert_neq(out.mErrors.find("services[0].chekc_within"), std::string::npos,
                "%s", out.mErrors.c_str());
}

Test(command, a_missing_region_is_named)
{
  auto text = Example();
  text.replace(text.find("region: manawatu"), 16, "region: nowheree");
  const auto out =
    Run(GUAVALINE_PATH, { "generate", TemporaryFile("region.yaml", text) });
  cr_assert_eq(out.mCode, 2);
  cr_assert_neq(out.mErrors.find("nowheree"), std::string::npos);
}

Test(command, a_file_that_is_not_there_is_bad_input)
{
  const auto out = Run(GUAVALINE_PATH, { "check", "/nowhere/at/all.yaml" });
  cr_assert_eq(out.mCode, 2);
  cr_assert_neq(out.mErrors.find("/nowhere/at/all.yaml"), std::string::npos);
}

Test(command, a_store_that_is_down_is_said_so)
{
  const auto out = Run(GUAVALINE_PATH, { "--store", "127.9.9.9:1", "status" });
  cr_assert_eq(out.mCode, 1);
  cr_assert_neq(out.mErrors.find("connect 127.9.9.9:1"), std::string::npos,
                "%s", out.mErrors.c_str());
}

Test(command, wrong_times_of_a_drain_are_all_named)
{
  const auto out = Run(GUAVALINE_PATH,
                       { "drain", "plan", "--name", "d", "--place", "r", "--by",
                         "tomorrow", "--until", "2026-13-01T00:00:00Z" });
  cr_assert_eq(out.mCode, 2);
  cr_assert_neq(out.mErrors.find("--by"), std::string::npos);
  cr_assert_neq(out.mErrors.find("--until"), std::string::npos);
}

Test(command, the_daemon_names_every_wrong_setting)
{
  const auto path = TemporaryFile(
    "settings.yaml",
    SettingsWith("store: somewhere\nseeds: [here]\nlog_levle: info\n"));
  const auto out = Run(GUAVALINED_PATH, { "--settings", path });
  cr_assert_eq(out.mCode, 2);
  cr_assert_neq(out.mErrors.find("log_levle"), std::string::npos);
  const auto ends = TemporaryFile(
    "ends.yaml", SettingsWith("store: somewhere\nseeds: [here]\n"));
  const auto more = Run(GUAVALINED_PATH, { "--settings", ends });
  cr_assert_neq(more.mErrors.find("store"), std::string::npos);
  cr_assert_neq(more.mErrors.find("seeds[0]"), std::string::npos);
}

Test(command, an_address_that_is_not_ours_ends_the_start)
{
  const auto path = TemporaryFile(
    "elsewhere.yaml",
    "name: a\naddress: 192.0.2.1\nport: 8080\npeer_port: 8081\nregion: r\n"
    "failure_domain: f\nkey: 0123456789abcdef\nstore: 127.0.0.1:1\n");
  const auto out = Run(GUAVALINED_PATH, { "--settings", path });
  cr_assert_eq(out.mCode, 3);
  cr_assert_neq(out.mErrors.find("event=cannot_start"), std::string::npos);
}
