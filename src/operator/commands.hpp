#pragma once

/// The operators' commands; each writes its result to a stream.

#include "operator/apply.hpp"

#include <guavaline/configuration/model.hpp>

#include <iosfwd>

namespace guavaline::detail {

/// Options that several commands share.
struct CommandOptions
{
  OperatorTarget mTarget;
  bool mJson = false; ///< JSON instead of text.
};

/// Makes a configuration from answers; shows what would change.
leaf::result<ExitCode> GenerateCommand(const std::string& aAnswersPath,
                                       const std::string& aOutPath,
                                       std::ostream& aOut);

/// Checks a configuration file.
leaf::result<ExitCode> CheckCommand(const std::string& aPath,
                                    std::ostream& aOut);

/// Applies a configuration file; drains already announced are kept.
leaf::result<ExitCode> ApplyCommand(const CommandOptions& aOptions,
                                    const std::string& aPath, bool aDryRun,
                                    std::ostream& aOut);

/// Shows what every entry says of itself.
leaf::result<ExitCode> StatusCommand(const CommandOptions& aOptions,
                                     std::ostream& aOut);

/// Shows latency quantiles of every entry.
leaf::result<ExitCode> MetricsCommand(const CommandOptions& aOptions,
                                      std::ostream& aOut);

/// Writes one settings file for each entry of a configuration.
leaf::result<ExitCode> SettingsCommand(const CommandOptions& aOptions,
                                       const std::string& aPath,
                                       const std::string& aDirectory,
                                       bool aFaultInjection,
                                       std::ostream& aOut);

/// Says whether a drain fits; announces it where asked to.
leaf::result<ExitCode> DrainCommand(const CommandOptions& aOptions,
                                    const Drain& aDrain, bool aAnnounce,
                                    std::ostream& aOut);

/// Lists announced drains.
leaf::result<ExitCode> DrainListCommand(const CommandOptions& aOptions,
                                        std::ostream& aOut);

/// Takes an announced drain back.
leaf::result<ExitCode> DrainCancelCommand(const CommandOptions& aOptions,
                                          const std::string& aName,
                                          std::ostream& aOut);

/// Tells from logs why a request ended as it did.
leaf::result<ExitCode> ExplainCommand(const std::string& aRequest,
                                      const std::vector<std::string>& aPaths,
                                      std::ostream& aOut);

} // namespace guavaline::detail
