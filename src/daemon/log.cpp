#include "daemon/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace guavaline::detail {
namespace {

spdlog::level::level_enum Convert(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return spdlog::level::debug;
    case LogLevel::Info:
      return spdlog::level::info;
    case LogLevel::Warning:
      return spdlog::level::warn;
    case LogLevel::Error:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

/// Quotes a value that holds blanks, quotes or control characters.
std::string Quote(const std::string& aValue)
{
  if (!aValue.empty() &&
      aValue.find_first_of(" \"=\t\r\n\\") == std::string::npos) {
    return aValue;
  }
  std::string out = "\"";
  for (const char it : aValue) {
    if (it == '"' || it == '\\') {
      out += '\\';
    }
    out += static_cast<unsigned char>(it) < ' ' ? '?' : it;
  }
  return out + '"';
}

} // namespace

void StartLog(const std::string& aHost)
{
  auto logger = spdlog::stderr_logger_st("guavaline");
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l host=" + aHost +
                        " %v",
                      spdlog::pattern_time_type::utc);
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

bool SetLogLevel(const std::string& aLevel)
{
  const auto level = spdlog::level::from_str(aLevel);
  if (level == spdlog::level::off && aLevel != "off") {
    return false;
  }
  spdlog::set_level(level);
  return true;
}

void Log(LogLevel aLevel, std::string_view aEvent,
         std::initializer_list<LogField> aFields)
{
  const auto level = Convert(aLevel);
  if (!spdlog::should_log(level)) {
    return;
  }
  std::string line = "event=";
  line += aEvent;
  for (const auto& it : aFields) {
    line += ' ';
    line += it.mKey;
    line += '=';
    line += Quote(it.mValue);
  }
  spdlog::log(level, "{}", line);
}

} // namespace guavaline::detail
