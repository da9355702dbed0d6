#include "following_entries.hpp"

#include <array>
#include <cstdio>

namespace guavaline::tests {

namespace json = boost::json;

json::value ConfigurationObject(int aVersion)
{
  std::array<char, 16> version{};
  std::snprintf(version.data(), version.size(), "%08x", aVersion);
  return { { "version", version.data() }, { "resources", json::array{} } };
}

json::value TargetObject(const char* aState, std::int64_t aBorn)
{
  return { { "address", "127.0.0.1:9" },
           { "born", aBorn },
           { "info",
             { { "service", "service" },
               { "zone", "d1" },
               { "version", "v1" },
               { "slots", 3 } } },
           { "status", { { "state", aState } } } };
}

bool Serves(detail::Entry& aEntry, const char* aTarget)
{
  const auto it = aEntry.mRegistry.mTargets.find(aTarget);
  return it != aEntry.mRegistry.mTargets.end() &&
         MayServe(aEntry.mRegistry, *it->second, Clock::now());
}

} // namespace guavaline::tests
