#pragma once

/// Finds the cause of one request's end in the logs of entries.

#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace guavaline::detail {

/// One line of a log.
struct LogLine
{
  std::string mTime;
  std::string mHost;
  std::string mEvent;
  std::map<std::string, std::string> mFields;

  /// @returns a field's value; empty where it is absent
  [[nodiscard]] const std::string& Field(const std::string& aName) const;
};

/// Reads a line of key=value pairs.
/// @returns nothing where it names no event
[[nodiscard]] std::optional<LogLine> ParseLogLine(const std::string& aLine);

/// Tells what was decided about a request, by which entries, and what they
/// believed of its targets and of the store then.
/// @param aLines  of all entries, in any order
/// @returns lines for a person; empty where no line names the request
[[nodiscard]] std::vector<std::string> ExplainRequest(
  std::vector<LogLine> aLines, const std::string& aRequest);

/// @returns how many lines entries left out under load
[[nodiscard]] std::size_t CountLeftOut(const std::vector<LogLine>& aLines);

} // namespace guavaline::detail
