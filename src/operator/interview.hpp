#pragma once

/// Asks the questionnaire at the terminal.

#include <guavaline/configuration/questionnaire.hpp>

#include <iosfwd>

namespace guavaline::detail {

/// Asks each question, shows the default, and asks again where an answer
/// cannot be read.
/// @returns nothing where the input ends early
[[nodiscard]] std::optional<Answers> Interview(std::istream& aIn,
                                               std::ostream& aOut);

/// Writes answers as YAML.
[[nodiscard]] std::string AnswersYaml(const Answers& aAnswers);

} // namespace guavaline::detail
