#include "entry_fixtures.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <criterion/criterion.h>

namespace guavaline::tests {

namespace asio = boost::asio;

detail::PlatformAdapter PlainAdapter()
{
  detail::PlatformAdapter out;
  out.mHeaders = { "Id",    "Time-Left", "Target", "Not-Run", "Load",   "Proof",
                   "Limit", "Leaving",   "Pause",  "Key",     "Account" };
  out.mObjectOf = [](const detail::HttpRequest&) {
    return std::string("object");
  };
  out.mReadLoad = [](std::string_view) {
    return std::optional<ReportedLoad>();
  };
  out.mReadPause = [](std::string_view a) {
    return a == "bad" ? std::optional<Millis>()
                      : Millis(std::stoll(std::string(a)));
  };
  out.mReadRateLimit = [](std::string_view a) {
    return a == "bad" ? std::optional<double>() : std::stod(std::string(a));
  };
  return out;
}

void ServeOneRoute(detail::Entry& aEntry, RequestKind aKind)
{
  Route route;
  route.mName = "route";
  route.mHost = "a.example";
  route.mPathPrefix = "/x/";
  route.mKind = aKind;
  route.mTimeout = Millis(1'000);
  route.mMaxTargets = 2;
  route.mServices = { { "service", 1 } };
  aEntry.mRouting.mVersion = 3;
  aEntry.mRouting.mRoutes = { route };
  for (const auto it :
       { detail::ObjectKind::Targets, detail::ObjectKind::Evacuations }) {
    aEntry.mFollows[it].mView.mListed = true;
    aEntry.mFollows[it].mView.mConfirmed = Clock::now();
  }
}

Registration TargetAt(const std::string& aId, const std::string& aAddress,
                      const char* aService)
{
  Registration out;
  out.mId = aId;
  out.mService = aService;
  out.mAddress = aAddress;
  out.mFailureDomain = "d1";
  out.mSlots = 4;
  return out;
}

void StartPeering(asio::io_context& aContext, detail::Entry& aEntry)
{
  const auto problem = aEntry.mPeerServer.Listen(
    aContext, aEntry.mSettings.mPeers.mAddress, aEntry.mSettings.mPeers.mPort,
    aEntry.mRoster.mSelf.mPeerKey,
    [&aEntry](std::string aKind, std::string aBody) {
      return AnswerEntry(aEntry, std::move(aKind), std::move(aBody));
    },
    [](const std::string&) { return true; });
  cr_assert(problem.empty(), "%s", problem.c_str());
  asio::co_spawn(aContext, ExchangeHeartbeats(aEntry), asio::detached);
}

detail::HttpResponse Forward(asio::io_context& aContext, detail::Entry& aEntry,
                             detail::HttpRequest aRequest)
{
  detail::HttpResponse out;
  aRequest.mArrived = Clock::now();
  asio::co_spawn(
    aContext,
    [&]() -> asio::awaitable<void> {
      out = co_await ForwardRequest(aEntry, std::move(aRequest));
      aContext.stop();
    },
    asio::detached);
  aContext.restart();
  aContext.run();
  return out;
}

} // namespace guavaline::tests
