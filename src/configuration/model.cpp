#include <guavaline/configuration/model.hpp>

#include <algorithm>

namespace guavaline {
namespace {

template<class List, class Matches>
auto* FindIn(const List& aList, Matches aMatches) noexcept
{
  const auto it = std::find_if(aList.begin(), aList.end(), aMatches);
  return it == aList.end() ? nullptr : &*it;
}

} // namespace

const Service* FindService(const Configuration& aConfiguration,
                           const std::string& aName) noexcept
{
  return FindIn(aConfiguration.mServices,
                [&](const Service& a) { return a.mName == aName; });
}

const EntryHost* FindEntry(const Configuration& aConfiguration,
                           const std::string& aName) noexcept
{
  return FindIn(aConfiguration.mEntries,
                [&](const EntryHost& a) { return a.mName == aName; });
}

const RequestClass* FindClass(const Service& aService,
                              const std::string& aMethod) noexcept
{
  const auto& method = aMethod == "HEAD" ? std::string("GET") : aMethod;
  return FindIn(aService.mClasses,
                [&](const RequestClass& a) { return a.mMethod == method; });
}

const Link* FindLink(const Configuration& aConfiguration,
                     const std::string& aFrom, const std::string& aTo) noexcept
{
  return FindIn(aConfiguration.mLinks, [&](const Link& a) {
    return a.mFrom == aFrom && a.mTo == aTo;
  });
}

std::uint32_t RegionSlots(const Service& aService,
                          const std::string& aRegion) noexcept
{
  std::uint32_t n = 0;
  for (const auto& it : aService.mTargets) {
    if (it.mRegion == aRegion) {
      n += it.mSlots;
    }
  }
  return n;
}

} // namespace guavaline
