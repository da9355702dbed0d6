/// Start, stop and upkeep of an entry host.

#include "daemon/event_loop.hpp"
#include "entry/account_limits.hpp"
#include "entry/crashes.hpp"
#include "entry/limits.hpp"
#include "entry/rate_limits.hpp"
#include "entry/spares.hpp"

#include <guavaline/admission/planned_stop.hpp>
#include <guavaline/core/hash.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cmath>
#include <csignal>
#include <set>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

constexpr Millis kUpkeepPeriod{ 200 };
/// Time between lines on split routes and on limited targets.
constexpr Millis kSummaryLogPeriod{ 2'000 };
constexpr Millis kStopPoll{ 50 };
constexpr int kExitCannotStart = 3;

std::uint64_t NewSeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

void Spawn(Entry& aEntry, asio::awaitable<void> aTask)
{
  asio::co_spawn(aEntry.mContext, std::move(aTask), asio::detached);
}

std::string ListenAll(Entry& aEntry)
{
  const auto& settings = aEntry.mSettings;
  const auto limits = LimitsFor(settings.mLimits, {});
  const auto listen = [&](HttpServer& aServer, const Endpoint& aWhere,
                          auto aAnswer) -> std::string {
    if (aWhere.mPort == 0) {
      return {};
    }
    return aServer.Listen(
      aEntry.mContext, aWhere.mAddress, aWhere.mPort,
      [&aEntry, aAnswer](HttpRequest a) {
        return aAnswer(aEntry, std::move(a));
      },
      limits);
  };
  for (const auto& problem :
       { listen(aEntry.mCallerServer, settings.mCallers, ForwardRequest),
         listen(aEntry.mReadyServer, settings.mReady, AnswerReady),
         listen(aEntry.mLookupServer, settings.mLookups, AnswerLookup),
         listen(aEntry.mMetricsServer, settings.mMetrics, AnswerMetrics) }) {
    if (!problem.empty()) {
      return problem;
    }
  }
  return aEntry.mPeerServer.Listen(
    aEntry.mContext, settings.mPeers.mAddress, settings.mPeers.mPort,
    aEntry.mRoster.mSelf.mPeerKey,
    [&aEntry](std::string aKind, std::string aBody) {
      return AnswerEntry(aEntry, std::move(aKind), std::move(aBody));
    },
    [](const std::string&) { return true; });
}

/// Sets where requests are expected to run while none has been sent.
void ExpectRegions(Entry& aEntry)
{
  double own = 0;
  double all = 0;
  for (const auto& [id, target] : aEntry.mRegistry.mTargets) {
    const double slots = target->mRegistration.mSlots;
    all += slots;
    own += target->mRegion == aEntry.mSettings.mRegion ? slots : 0;
  }
  double ownDomains = 0;
  for (const auto& [domain, region] : aEntry.mSettings.mDomains) {
    ownDomains += region == aEntry.mSettings.mRegion ? 1 : 0;
  }
  const auto allDomains = static_cast<double>(aEntry.mSettings.mDomains.size());
  ExpectFarShare(aEntry.mRegionShare,
                 FirstFarShare(own, all, ownDomains, allDomains));
}

/// Chooses which entries callers are led to, and logs how many became so.
void ServeByLoad(Entry& aEntry, TimePoint aNow)
{
  auto& roster = aEntry.mRoster;
  const auto before = roster.mServing.size();
  UpdateServing(roster, aNow);
  if (roster.mServing.size() != before) {
    LogBounded(LogClass::Routine, LogLevel::Info, "serving_changed",
               { { "entries", std::to_string(roster.mServing.size()) },
                 { "before", std::to_string(before) },
                 { "live", std::to_string(CountLiveInRegion(roster, aNow)) },
                 { "requests_per_s",
                   std::to_string(std::lround(roster.mRegionRate.mPeak)) } });
  }
}

asio::awaitable<void> Upkeep(Entry& aEntry)
{
  auto logged = Clock::now();
  while (true) {
    co_await Pause(aEntry, kUpkeepPeriod);
    const auto now = Clock::now();
    SettleViews(aEntry, now);
    ForgetLapsed(aEntry.mRegistry, now);
    ForgetOldCrashes(aEntry.mCrashTable, now);
    ForgetBrokenRuns(aEntry, now);
    NoteLiveEntries(aEntry, now);
    ServeByLoad(aEntry, now);
    ShareLimits(aEntry, now);
    ShareAccountLimits(aEntry, now);
    ExpectRegions(aEntry);
    PushWarmNews(aEntry);
    PushLoadNews(aEntry, now);
    TellCrashes(aEntry);
    aEntry.mTargetClient.DropExpired(now);
    KeepSpareConnections(aEntry, now);
    if (now - logged >= kSummaryLogPeriod) {
      LogSplits(aEntry);
      LogLimits(aEntry, now);
      LogAccountLimits(aEntry, now);
      LogLoads(aEntry, now);
      logged = now;
    }
    FlushLog();
  }
}

asio::awaitable<void> LeaveStore(Entry& aEntry)
{
  const std::string name = aEntry.mSettings.mName;
  co_await aEntry.mPlatform.mRemoveEntry(name, 0);
}

/// Leaves the look-ups, serves what still comes, then ends.
asio::awaitable<void> Stop(Entry& aEntry)
{
  const auto started = Clock::now();
  aEntry.mStopping = started;
  aEntry.mRoster.mLeaving = true;
  Log(LogLevel::Info, "stopping",
      { { "in_flight", std::to_string(aEntry.mCallerServer.InFlight()) } });
  Spawn(aEntry, LeaveStore(aEntry));
  aEntry.mCallerServer.CloseAfterAnswers();
  const auto last = started + aEntry.mSettings.mBounds.mStopTime - kStopMargin;
  while (Clock::now() < last && (Clock::now() < started + kLeaveTime ||
                                 aEntry.mCallerServer.InFlight() > 0)) {
    co_await Pause(aEntry, kStopPoll);
  }
  Log(LogLevel::Info, "stopped",
      { { "cut_in_flight", std::to_string(aEntry.mCallerServer.InFlight()) } });
  FlushLog();
  aEntry.mContext.stop();
}

asio::awaitable<void> AwaitStop(Entry& aEntry)
{
  asio::signal_set signals(aEntry.mContext, SIGTERM, SIGINT);
  co_await signals.async_wait(asio::use_awaitable);
  co_await Stop(aEntry);
}

} // namespace

Entry::Entry(asio::io_context& aContext, EntrySettings aSettings,
             PlatformAdapter aPlatform)
  : mContext(aContext)
  , mSettings(std::move(aSettings))
  , mPlatform(std::move(aPlatform))
  , mRandom(NewSeed())
  , mTargetClient(aContext.get_executor())
  , mPeers(aContext.get_executor(), "", mSettings.mAddress)
{
  mTargetClient.SetMostBuffered(MostAnswerBytes(mSettings.mLimits));
  mRegistry.mDomains = mSettings.mDomains;
  mRegionShare.mMaxShift = mSettings.mBounds.mMaxShift;
  mRegionShare.mUnrest = mSettings.mBounds.mUnrest;
  mTrips.mOwnDomain = mSettings.mFailureDomain;
  mTrips.mOwnRegion = mSettings.mRegion;
  auto& self = mRoster.mSelf;
  self.mName = mSettings.mName;
  self.mIncarnation = mRandom() >> 1U;
  self.mCallerAddress = mSettings.mCallers.Text();
  self.mPeerAddress = mSettings.mPeers.Text();
  self.mPeerKey = HexId(mRandom());
  self.mFailureDomain = mSettings.mFailureDomain;
  self.mRegion = mSettings.mRegion;
  self.mCapacity =
    CapacityOf(mSettings.mLimits.mCores, mSettings.mLimits.mLinkMegabits);
}

void ForgetGoneRoutes(Entry& aEntry)
{
  const auto& table = aEntry.mRouting;
  std::set<std::string> routes;
  for (const auto& it : table.mRoutes) {
    routes.insert(it.mName);
  }
  for (auto it = aEntry.mRoutes.begin(); it != aEntry.mRoutes.end();) {
    if (routes.count(it->first) > 0) {
      std::erase_if(it->second.mRunTimes, [&](const auto& a) {
        return table.mServices.count(a.first) == 0;
      });
      ++it;
      continue;
    }
    aEntry.mMetrics.Forget(it->first, "route=\"" + it->first + "\"");
    it = aEntry.mRoutes.erase(it);
  }
  std::erase_if(aEntry.mRetries, [&](const auto& a) {
    return table.mServices.count(a.first) == 0;
  });
}

asio::awaitable<void> Pause(Entry& aEntry, Millis aTime)
{
  asio::steady_timer timer(aEntry.mContext, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

int RunEntry(asio::io_context& aContext, Entry& aEntry)
{
  const auto problem = ListenAll(aEntry);
  if (!problem.empty()) {
    Log(LogLevel::Error, "cannot_start", { { "error", problem } });
    FlushLog();
    return kExitCannotStart;
  }
  Spawn(aEntry, AwaitStop(aEntry));
  const auto lasting = [&](const char* aName, TaskMaker aMake) {
    SpawnLasting(aContext.get_executor(), aName, std::move(aMake));
  };
  lasting("reload", [&] { return AwaitReload(aEntry); });
  for (const auto it : { ObjectKind::Routing, ObjectKind::Targets,
                         ObjectKind::Evacuations, ObjectKind::Entries }) {
    lasting(KindName(it), [&aEntry, it] { return FollowObjects(aEntry, it); });
  }
  lasting("records", [&] { return KeepRecords(aEntry); });
  lasting("heartbeats", [&] { return ExchangeHeartbeats(aEntry); });
  lasting("upkeep", [&] { return Upkeep(aEntry); });
  Log(LogLevel::Info, "started",
      { { "callers", aEntry.mSettings.mCallers.Text() },
        { "failure_domain", aEntry.mSettings.mFailureDomain },
        { "store", aEntry.mSettings.mStore.Text() },
        { "incarnation", HexId(aEntry.mRoster.mSelf.mIncarnation) } });
  RunEventLoop(aContext);
  FlushLog();
  return 0;
}

} // namespace guavaline::detail
