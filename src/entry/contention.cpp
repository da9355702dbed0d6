#include "entry/contention.hpp"

#include "entry/entry.hpp"

namespace guavaline::detail {

bool IsContended(const Entry& aEntry, const std::string& aService)
{
  return !aEntry.mRouting.mAccounts.empty() ||
         aEntry.mSpeedReporting.count(aService) > 0;
}

} // namespace guavaline::detail
