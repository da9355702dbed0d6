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

/// How lines are bounded under load.
enum class LogClass {
  Routine = 1, ///< Requests that were served.
  Failure,     ///< Requests that failed or were refused.
};

/// Sets up the process's log on standard error.
void StartLog(const std::string& aHost);

/// Sets up the process's log on standard output. Lines gather in memory and
/// go out with FlushLog; what a reader does not take in time is dropped and
/// counted, so that logging never blocks.
void StartStdoutLog(const std::string& aHost);

/// Writes gathered lines, as far as standard output takes them.
void FlushLog();

/// Sets the level: debug, info, warning or error.
/// @returns false where the name is another
bool SetLogLevel(const std::string& aLevel);

/// Writes one event.
void Log(LogLevel aLevel, std::string_view aEvent,
         std::initializer_list<LogField> aFields);

/// Writes one event of a kind that comes with load. Above a rate, lines are
/// left out and counted; routine lines are left out first.
void LogBounded(LogClass aClass, LogLevel aLevel, std::string_view aEvent,
                std::initializer_list<LogField> aFields);

} // namespace guavaline::detail
