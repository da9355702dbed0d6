#pragma once

/// Configurations for tests.

#include <guavaline/configuration/questionnaire.hpp>

namespace guavaline::tests {

/// @returns the configuration generated from examples/NAME.yaml
Configuration Example(const std::string& aName);

/// @returns a service with targets in region "r1"
Service OneRegionService(std::uint32_t aTargets, std::uint32_t aSlots);

/// @returns the text of a file of the repository
std::string ReadRepositoryFile(const std::string& aPath);

} // namespace guavaline::tests
