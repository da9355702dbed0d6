#pragma once

/// Asks a running entry where a request would go now, and why.

#include "operator/apply.hpp"

#include <iosfwd>
#include <string>

namespace guavaline::detail {

/// The request that is asked about.
struct WhereQuestion
{
  std::string mEntry = {}; ///< IP:PORT of the entry's metrics.
  std::string mHost = {};
  std::string mPath = {};
  std::string mObject = {};  ///< Empty for none.
  std::string mAccount = {}; ///< Empty for none.
  std::string mLimitMs = {}; ///< Empty for the usual.
};

/// @returns path and query for the entry
[[nodiscard]] std::string WhereTarget(const WhereQuestion& aQuestion);

/// Prints what the entry says. It sends nothing to a target.
leaf::result<ExitCode> WhereCommand(const WhereQuestion& aQuestion,
                                    std::ostream& aOut);

} // namespace guavaline::detail
