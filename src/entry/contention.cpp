#include "entry/contention.hpp"

#include "entry/entry.hpp"

namespace guavaline::detail {

bool IsAnyContended(const Entry& aEntry)
{
  return !aEntry.mRouting.mAccounts.empty() || !aEntry.mSpeedReporting.empty();
}

bool IsContended(const Entry& aEntry, const std::string& aService)
{
  return !aEntry.mRouting.mAccounts.empty() ||
         aEntry.mSpeedReporting.count(aService) > 0;
}

} // namespace guavaline::detail
