#pragma once

/// Checks of a configuration's content beyond its form.

#include <guavaline/configuration/model.hpp>
#include <guavaline/core/error.hpp>

namespace guavaline {

/// Finds every contradiction in a configuration.
/// @param aConfiguration  what to check
/// @returns all problems; empty where the configuration may be applied
///
/// @code
/// for (const auto& it : Check(configuration)) {
///   std::cerr << it.Describe() << '\n';
/// }
/// @endcode
[[nodiscard]] Problems Check(const Configuration& aConfiguration);

} // namespace guavaline
