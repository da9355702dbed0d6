#pragma once

/// Error values: failures at run time and problems in what a person wrote.

#include <string>
#include <vector>

namespace guavaline {

/// A failure at run time.
///
/// @code
/// Error{ "connect", "127.0.1.1:8080", "connection refused" }.Describe();
/// @endcode
struct Error
{
  std::string mStep;   ///< What was being done, such as "connect".
  std::string mPeer;   ///< Address or name of the other side.
  std::string mReason; ///< What went wrong.

  /// @returns "step peer: reason".
  [[nodiscard]] std::string Describe() const;
};

/// One mistake in a file or request that a person wrote.
struct Problem
{
  std::string mFile;    ///< File name; empty for request bodies.
  int mLine = 0;        ///< Line from 1; 0 where not known.
  std::string mField;   ///< Path of the field, such as "regions[0].name".
  std::string mFound;   ///< What stands there.
  std::string mAllowed; ///< What may stand there.

  /// @returns "file:line: field: found X; allowed: Y".
  [[nodiscard]] std::string Describe() const;
};

/// All mistakes found in one pass.
using Problems = std::vector<Problem>;

} // namespace guavaline
