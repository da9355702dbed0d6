#pragma once

/// YAML files as typed objects, with the line of each problem.

#include "codec/described.hpp"

#include <functional>

namespace guavaline::detail {

/// A YAML document as a JSON value and the line of each field.
struct YamlDocument
{
  json::value mValue;
  std::map<std::string, int> mLines; ///< Line from 1 by field path.
};

/// Parses YAML text; syntax errors and repeated keys go to aProblems.
[[nodiscard]] YamlDocument ParseYaml(const std::string& aText,
                                     Problems& aProblems);

/// Gives the comment that stands before a field; empty for none.
using CommentFor = std::function<std::string(const std::string& aPath)>;

/// Writes a JSON value as YAML with comments.
[[nodiscard]] std::string EmitYaml(const json::value& aValue,
                                   const CommentFor& aComment);

/// Reads a whole file.
/// @returns nothing where it cannot be read; the problem names the reason
[[nodiscard]] std::optional<std::string> ReadFile(const std::string& aPath,
                                                  Problems& aProblems);

/// Adds file and line to problems found in a document.
void LocateProblems(const std::string& aFile, const YamlDocument& aDocument,
                    Problems& aProblems);

/// Parses YAML text into a typed object.
/// @returns the problems found, each with file and line
template<class T>
[[nodiscard]] Problems FromYaml(const std::string& aFile,
                                const std::string& aText, T& aOut)
{
  Reader reader;
  const auto document = ParseYaml(aText, reader.Found());
  if (reader.Found().empty()) {
    Read(document.mValue, aOut, reader);
  }
  LocateProblems(aFile, document, reader.Found());
  return reader.Found();
}

} // namespace guavaline::detail
