#pragma once

/// Failures of operators' commands, carried by Boost.LEAF.

#include <guavaline/core/error.hpp>

#include <boost/leaf.hpp>

namespace guavaline::detail {

namespace leaf = boost::leaf;

/// What a person wrote cannot be used.
struct BadInput
{
  Problems mProblems;
};

/// Somebody else changed the configuration meanwhile.
struct ApplyConflict
{
  std::vector<std::string> mTheirs; ///< Fields that they changed.
  std::vector<std::string> mOurs;   ///< Fields that this change differs in.
};

/// A drain does not fit.
struct DrainDoesNotFit
{
  std::string mReason;
};

/// Exit codes of the guavaline command.
enum class ExitCode {
  Done = 0,
  Failed = 1,     ///< The store or a host could not be reached.
  BadInput = 2,   ///< A file or argument is wrong; nothing was changed.
  Conflict = 3,   ///< Somebody else changed the configuration.
  DoesNotFit = 4, ///< A drain cannot end in time.
  NotInForce = 5, ///< Accepted, but not yet in force everywhere.
};

} // namespace guavaline::detail
