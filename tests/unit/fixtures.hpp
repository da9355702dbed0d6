#pragma once

/// Configurations and settings for tests.

#include "daemon/settings.hpp"
#include "entry/settings.hpp"

#include <guavaline/configuration/questionnaire.hpp>

namespace guavaline::tests {

/// @returns the configuration generated from examples/NAME.yaml
Configuration Example(const std::string& aName);

/// @returns a service with targets in region "r1"
Service OneRegionService(std::uint32_t aTargets, std::uint32_t aSlots);

/// @returns settings of an entry in domain "d1" of region "r1"
detail::EntrySettings EntrySettingsOf(const std::string& aName);

/// @returns settings of a daemon "e1" on loopback, without a store
detail::Settings DaemonSettings();

/// @returns the text of a file of the repository
std::string ReadRepositoryFile(const std::string& aPath);

} // namespace guavaline::tests
