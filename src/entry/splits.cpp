#include "entry/splits.hpp"

#include "entry/request_state.hpp"

#include <guavaline/core/units.hpp>

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

/// @returns "SERVICE:REQUESTS,..." by how much each is ahead of its weight
std::string AheadText(const SplitTally& aTally)
{
  std::string out;
  for (std::size_t n = 0; n < aTally.mParts.size(); ++n) {
    out += (out.empty() ? "" : ",") + aTally.mParts[n].mService + ":" +
           DecimalText(aTally.mAhead[n], 1);
  }
  return out;
}

} // namespace

void NotePicked(Entry& aEntry, const RequestState& aState)
{
  if (IsSplit(aState.mRoute)) {
    auto& record = aEntry.mRoutes[aState.mRoute.mName];
    ++record.mSplitRequests[aState.mService].mPicked;
  }
}

void NoteSplitEnd(Entry& aEntry, const RequestState& aState)
{
  if (!IsSplit(aState.mRoute) || aState.mService.empty()) {
    return;
  }
  const bool sent = aState.mSends > 0;
  const auto it = aEntry.mRoutes.find(aState.mRoute.mName);
  if (!sent && it != aEntry.mRoutes.end()) {
    ++it->second.mSplitRequests[aState.mService].mUnsent;
  }
  aEntry.mMetrics.Count("split_requests", "route=\"" + aState.mRoute.mName +
                                            "\",service=\"" + aState.mService +
                                            "\",sent=\"" +
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
    LogBounded(LogClass::Failure, LogLevel::Info, "split_requests",
               { { "route", route.mName },
                 { "configuration", std::to_string(aEntry.mRouting.mVersion) },
                 { "weights", PartsText(route,
                                        [](const auto& a) {
                                          return std::lround(a.mWeight);
                                        }) },
                 { "picked", PartsText(route,
                                       [&](const auto& a) {
                                         return requests[a.mService].mPicked;
                                       }) },
                 { "unsent", PartsText(route,
                                       [&](const auto& a) {
                                         return requests[a.mService].mUnsent;
                                       }) },
                 { "ahead", AheadText(record.mSplit) } });
    requests.clear();
  }
}

} // namespace guavaline::detail
