#include "daemon/callers_api.hpp"

#include "daemon/adoption.hpp"
#include "daemon/log.hpp"
#include "daemon/status_wire.hpp"
#include "forwarding/exchange.hpp"
#include "forwarding/forward.hpp"

#include <guavaline/core/hash.hpp>
#include <guavaline/lookup/lookup.hpp>

#include <boost/describe.hpp>

namespace guavaline {
BOOST_DESCRIBE_ENUM(MemberStatus, Alive, Leaving, Suspected, Gone)
} // namespace guavaline

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxNamed = 4;
constexpr std::string_view kBearer = "Bearer ";

HttpResponse Lookup(const Node& aNode, const HttpRequest& aRequest)
{
  const auto service = QueryParameter(aRequest.mTarget, "service");
  if (!service || service->empty()) {
    return Refusal(400, "no", "parameter_service_missing");
  }
  if (aNode.mAccepted.mVersion == 0) {
    return Refusal(503, "no", "no_configuration");
  }
  const auto& configuration = aNode.mAccepted.mConfiguration;
  if (FindService(configuration, *service) == nullptr) {
    return Refusal(404, "no", "unknown_service");
  }
  const auto place = QueryParameter(aRequest.mTarget, "place");
  const auto caller = QueryParameter(aRequest.mTarget, "caller");
  const auto now = Clock::now();
  const auto wall = WallNow();
  const auto usable = [&](const EntryHost& a) {
    return StatusOf(aNode.mView, a.mName, now) == MemberStatus::Alive &&
           !IsDrained(configuration, DrainScope::Entry, a.mName, wall) &&
           !IsDrained(configuration, DrainScope::FailureDomain,
                      a.mFailureDomain, wall) &&
           !IsDrained(configuration, DrainScope::Region, a.mRegion, wall);
  };
  const auto ranked =
    RankEntries(configuration, place.value_or(aNode.mSettings.mRegion),
                Hash(caller.value_or("")), usable, kMaxNamed);
  LookupAnswer out;
  out.mService = *service;
  for (const auto n : ranked) {
    const auto& it = configuration.mEntries[n];
    out.mEntries.push_back({ it.mAddress + ":" + std::to_string(it.mPort),
                             it.mRegion, it.mFailureDomain });
  }
  out.mTtlMs = configuration.mLookupTtl.count();
  out.mVersion = aNode.mAccepted.mVersion;
  out.mIdentityPrefix = IdentityPrefix(aNode.mAttempts, now);
  return JsonResponse(200, ToJson(out));
}

bool IsOperator(const Node& aNode, const HttpRequest& aRequest)
{
  const auto value = FindHeader(aRequest.mHeaders, "Authorization");
  return value.substr(0, kBearer.size()) == kBearer &&
         SameKey(value.substr(kBearer.size()), aNode.mSettings.mKey);
}

HttpResponse Push(Node& aNode, const HttpRequest& aRequest)
{
  PushedConfiguration pushed;
  if (!FromJson(aRequest.mBody, pushed).empty()) {
    return Refusal(400, "no", "body_not_understood");
  }
  Adopt(aNode, pushed.mVersion, pushed.mConfiguration, "operator");
  return JsonResponse(200, ToJson(PushAnswer{ aNode.mAccepted.mVersion }));
}

HttpResponse SetLevel(const HttpRequest& aRequest)
{
  const auto level = QueryParameter(aRequest.mTarget, "level");
  if (!level || !SetLogLevel(*level)) {
    return Refusal(400, "no", "level_not_known");
  }
  return JsonResponse(200, "{}");
}

/// Cuts this entry off from addresses, or joins it again; for tests.
HttpResponse SetFaults(Node& aNode, const HttpRequest& aRequest)
{
  aNode.mBlocked.clear();
  auto list = QueryParameter(aRequest.mTarget, "block").value_or("");
  while (!list.empty()) {
    const auto comma = list.find(',');
    aNode.mBlocked.insert(list.substr(0, comma));
    list = comma == std::string::npos ? "" : list.substr(comma + 1);
  }
  return JsonResponse(200, "{}");
}

RegionLine RegionStatus(const ServiceState& aState, const std::string& aRegion,
                        TimePoint aNow)
{
  RegionLine out;
  out.mRegion = aRegion;
  const auto eligible =
    EligibleTargets(aState.mService, aRegion, aState.mHealth, aNow);
  out.mTargets = static_cast<std::uint32_t>(eligible.size());
  for (std::uint32_t n = 0; n < aState.mService.mTargets.size(); ++n) {
    if (aState.mService.mTargets[n].mRegion == aRegion) {
      out.mOwned += aState.mSlots.mOwned[n];
      out.mUsable += UsableSlots(aState.mSlots, n, aNow, aNow);
      out.mInUse += aState.mSlots.mInUse[n];
    }
  }
  return out;
}

ServiceStatus StatusOfService(const Node& aNode, const ServiceState& aState)
{
  const auto& regions = aNode.mAccepted.mConfiguration.mRegions;
  ServiceStatus out;
  out.mService = aState.mService.mName;
  for (const auto& [place, shares] : aState.mShares) {
    ShareLine line{ place, {} };
    for (std::size_t n = 0; n < regions.size(); ++n) {
      line.mByRegion[regions[n].mName] = shares.mShares[n];
    }
    out.mShares.push_back(std::move(line));
  }
  for (const auto& it : regions) {
    out.mRegions.push_back(RegionStatus(aState, it.mName, Clock::now()));
  }
  return out;
}

std::string StateAt(WallTime aNow, const DrainSchedule& aDrain)
{
  if (aNow < aDrain.mStart) {
    return "announced";
  }
  if (aNow < aDrain.mBy) {
    return "moving";
  }
  return aNow < aDrain.mUntil ? "drained" : "over";
}

HttpResponse Status(const Node& aNode)
{
  const auto now = Clock::now();
  const auto& configuration = aNode.mAccepted.mConfiguration;
  NodeStatus out;
  out.mName = aNode.mSelf.mEntry;
  out.mIncarnation = HexId(aNode.mSelf.mNumber);
  out.mVersion = aNode.mAccepted.mVersion;
  out.mLeaving = aNode.mView.mOwnNews.mLeaving;
  for (const auto& [name, member] : aNode.mView.mMembers) {
    const auto status = StatusOf(aNode.mView, name, now);
    out.mMembers.push_back(
      { name, EnumeratorName(boost::describe::enum_to_string(status, "")),
        member.mNews.mVersion });
  }
  for (const auto& [name, state] : aNode.mServices) {
    out.mServices.push_back(StatusOfService(aNode, state));
    for (const auto& it : ScheduleDrains(configuration, state.mService)) {
      out.mDrains.push_back({ it.mName, name, FormatWallTime(it.mStart),
                              FormatWallTime(it.mBy), FormatWallTime(it.mUntil),
                              StateAt(WallNow(), it) });
    }
  }
  return JsonResponse(200, ToJson(out));
}

HttpResponse OperatorCall(Node& aNode, std::string_view aPath,
                          const HttpRequest& aRequest)
{
  if (!IsOperator(aNode, aRequest)) {
    return Refusal(401, "no", "key_needed");
  }
  if (aPath == "/v1/configuration" && aRequest.mMethod == "POST") {
    return Push(aNode, aRequest);
  }
  if (aPath == "/v1/status" && aRequest.mMethod == "GET") {
    return Status(aNode);
  }
  if (aPath == "/v1/log" && aRequest.mMethod == "POST") {
    return SetLevel(aRequest);
  }
  if (aPath == "/v1/faults" && aRequest.mMethod == "POST" &&
      aNode.mSettings.mFaultInjection) {
    return SetFaults(aNode, aRequest);
  }
  return Refusal(404, "no", "unknown_path");
}

} // namespace

asio::awaitable<HttpResponse> Answer(Node& aNode, HttpRequest aRequest)
{
  const auto path = PathOf(aRequest.mTarget);
  if (path.substr(0, kServicePrefix.size()) == kServicePrefix) {
    co_return co_await Forward(aNode, std::move(aRequest));
  }
  if (path == "/v1/lookup" && aRequest.mMethod == "GET") {
    co_return Lookup(aNode, aRequest);
  }
  if (path == "/metrics" && aRequest.mMethod == "GET") {
    HttpResponse out;
    out.mHeaders.push_back({ "Content-Type", "text/plain; version=0.0.4" });
    out.mBody = aNode.mMetrics.Text();
    co_return out;
  }
  const std::string wanted(path);
  co_return OperatorCall(aNode, wanted, aRequest);
}

} // namespace guavaline::detail
