#include "entry/splits.hpp"

#include "entry/passage.hpp"

#include <cmath>

namespace guavaline::detail {

namespace {

bool IsSplit(const Route& aRoute) noexcept
{
  return aRoute.mServices.size() > 1;
}

/// @returns "SERVICE:VALUE,..." in the order of the route's services
template<class ValueOf>
std::string PartsText(const Route& aRoute, const ValueOf& aValueOf)
{
  std::string out;
  for (const auto& it : aRoute.mServices) {
    out += (out.empty() ? "" : ",") + it.mService + ":" +
           std::to_string(aValueOf(it));
  }
  return out;
}

} // namespace

void NotePicked(Entry& aEntry, const Passage& aPassage)
{
  if (IsSplit(aPassage.mRoute)) {
    auto& record = aEntry.mRoutes[aPassage.mRoute.mName];
    ++record.mSplitRequests[aPassage.mService].mPicked;
  }
}

void NoteSplitEnd(Entry& aEntry, const Passage& aPassage)
{
  if (!IsSplit(aPassage.mRoute) || aPassage.mService.empty()) {
    return;
  }
  const bool sent = aPassage.mSends > 0;
  const auto it = aEntry.mRoutes.find(aPassage.mRoute.mName);
  if (!sent && it != aEntry.mRoutes.end()) {
    ++it->second.mSplitRequests[aPassage.mService].mUnsent;
  }
  aEntry.mMetrics.Count("split_requests", "route=\"" + aPassage.mRoute.mName +
                                            "\",service=\"" +
                                            aPassage.mService + "\",sent=\"" +
                                            (sent ? "yes" : "no") + "\"");
}

void LogSplits(Entry& aEntry)
{
  for (const auto& route : aEntry.mRouting.mRoutes) {
    const auto it = aEntry.mRoutes.find(route.mName);
    if (!IsSplit(route) || it == aEntry.mRoutes.end() ||
        it->second.mSplitRequests.empty()) {
      continue;
    }
    auto& record = it->second;
    auto& requests = record.mSplitRequests;
    LogBounded(
      LogClass::Failure, LogLevel::Info, "split_requests",
      { { "route", route.mName },
        { "configuration", std::to_string(aEntry.mRouting.mVersion) },
        { "weights",
          PartsText(route,
                    [](const auto& a) { return std::lround(a.mWeight); }) },
        { "picked", PartsText(route,
                              [&](const auto& a) {
                                return requests[a.mService].mPicked;
                              }) },
        { "unsent", PartsText(route,
                              [&](const auto& a) {
                                return requests[a.mService].mUnsent;
                              }) },
        { "tally", std::to_string(std::lround(record.mSplit.mAll)) } });
    requests.clear();
  }
}

} // namespace guavaline::detail
