#pragma once

/// Structured logs: one line of key=value pairs for each event.

#include <initializer_list>
#include <string>
#include <string_view>

namespace guavaline::detail {

/// One pair of a log line.
struct LogField
{
  std::string_view mKey;
  std::string mValue;
};

enum class LogLevel {
  Debug = 1,
  Info,
  Warning,
  Error,
};

/// Sets up the process's log on standard error.
void StartLog(const std::string& aHost);

/// Sets the level: debug, info, warning or error.
/// @returns false where the name is another
bool SetLogLevel(const std::string& aLevel);

/// Writes one event.
void Log(LogLevel aLevel, std::string_view aEvent,
         std::initializer_list<LogField> aFields);

} // namespace guavaline::detail
