#pragma once

/// State of an entry host that runs on the users' platform. Decisions are
/// free functions of the slices; the files beside this one feed them events
/// and carry out what they decide.

#include "daemon/log.hpp"
#include "entry/adapter.hpp"
#include "entry/load_news.hpp"
#include "entry/settings.hpp"
#include "entry/splits.hpp"
#include "http/server.hpp"
#include "peers/peer_link.hpp"

#include <guavaline/accounts/accounts.hpp>
#include <guavaline/admission/account_limits.hpp>
#include <guavaline/admission/budgets.hpp>
#include <guavaline/crashes/crash_table.hpp>
#include <guavaline/metrics/metrics.hpp>
#include <guavaline/placement/placement.hpp>
#include <guavaline/views/follow.hpp>

#include <boost/asio/io_context.hpp>

#include <random>
#include <set>
#include <string>

namespace guavaline::detail {

/// One kind of the store's objects.
struct FollowState
{
  ObjectView mView;
  StoreAccess mAccess;
  /// Another entry has changes that are too large to pass on.
  bool mBehind = false;
};

/// What an entry learns of one route while the configuration has it.
struct RouteRecord
{
  std::map<std::string, RunTimes> mRunTimes; ///< By service.
  Millis mFullLimit{ 0 }; ///< Time limit that its callers start with.
  SplitTally mSplit;
  SplitRequests mSplitRequests; ///< Since they were last logged.
};

struct Entry
{
  Entry(boost::asio::io_context& aContext, EntrySettings aSettings,
        PlatformAdapter aPlatform);

  boost::asio::io_context& mContext;
  EntrySettings mSettings;
  PlatformAdapter mPlatform;
  std::mt19937_64 mRandom;

  RoutingTable mRouting;
  AccountIndex mAccountIndex; ///< Of the configuration in force.
  TargetRegistry mRegistry;
  Roster mRoster;
  std::set<std::string> mLiveEntries; ///< Of the region, as last logged.
  bool mIsolated = true;              ///< As last logged.
  std::map<ObjectKind, FollowState> mFollows;
  StoreAccess mStoreAccess; ///< By calls of all kinds.
  /// The latest epoch that the store or another entry told of.
  std::uint64_t mStoreEpoch = kFirstEpoch;
  TimePoint mViewsOld{}; ///< When views were last too old to rely on.
  RoundTrips mTrips;
  WarmTable mWarm;
  RegionShare mRegionShare;
  TimePoint mDisturbed{}; ///< When a connection, entry or the store failed.
  std::map<std::string, RouteRecord> mRoutes;  ///< By route.
  std::map<std::string, RetryBudget> mRetries; ///< By service.
  CrashTable mCrashTable;
  CrashEvidence mUntoldCrashes;          ///< Not told to other entries yet.
  std::vector<TargetPtr> mBrokenTargets; ///< Those that broke runs lately.
  /// Services whose targets report how fast their hosts are at present.
  std::set<std::string> mSpeedReporting;
  AccountLimits mAccountLimits;
  std::uint64_t mAccountTurn = 0; ///< Reports on accounts so far.
  LoadExchange mLoads;
  Metrics mMetrics;

  HttpClient mTargetClient;
  PeerClient mPeers;
  HttpServer mCallerServer;
  HttpServer mReadyServer;
  HttpServer mLookupServer;
  HttpServer mMetricsServer;
  PeerServer mPeerServer;
  bool mRecordWritten = false;        ///< The own record is in the store.
  std::uint64_t mTaken = 0;           ///< Requests since the last heartbeat.
  std::optional<TimePoint> mStopping; ///< When SIGTERM came.
};

/// Waits on the event loop.
boost::asio::awaitable<void> Pause(Entry& aEntry, Millis aTime);

/// @returns true where the entry may take callers' requests
[[nodiscard]] bool IsReady(const Entry& aEntry);

/// Drops what was learned of routes and services that the configuration in
/// force does not have.
void ForgetGoneRoutes(Entry& aEntry);

/// Takes in settings that may change while the process runs: bounds, limits
/// and failure domains.
/// @returns true where any of them changed
bool TakeSettings(Entry& aEntry, const EntrySettings& aNew);

/// Reads the settings anew at SIGHUP, and where they changed without it.
boost::asio::awaitable<void> AwaitReload(Entry& aEntry);

/// Gives a retry budget this entry's part of the bounds in force.
void SetRetryBounds(const Entry& aEntry, RetryBudget& aBudget);

/// Answers one caller's request.
boost::asio::awaitable<HttpResponse> ForwardRequest(Entry& aEntry,
                                                    HttpRequest aRequest);

/// Answers a look-up, a readiness question, or a request for metrics.
boost::asio::awaitable<HttpResponse> AnswerLookup(Entry& aEntry,
                                                  HttpRequest aRequest);
boost::asio::awaitable<HttpResponse> AnswerReady(Entry& aEntry,
                                                 HttpRequest aRequest);
boost::asio::awaitable<HttpResponse> AnswerMetrics(Entry& aEntry,
                                                   HttpRequest aRequest);

/// Says where a request would go now and why, without sending anything or
/// changing what the entry knows.
/// @param aRequest  "host", "path", and where there are any "object", "account"
///                  and "limit_ms" in its query
[[nodiscard]] HttpResponse AnswerWhere(Entry& aEntry,
                                       const HttpRequest& aRequest,
                                       TimePoint aNow);

/// Keeps the view of one kind of object; runs until the process ends.
boost::asio::awaitable<void> FollowObjects(Entry& aEntry, ObjectKind aKind);

/// Takes in changes of a view, from the store or from another entry.
void ApplyChanges(Entry& aEntry, ObjectKind aKind,
                  const std::vector<ObjectChange>& aChanges, TimePoint aNow);

/// Takes in a target's registration, and what it says of earlier lives.
RegistryChange TakeTargetRegistration(Entry& aEntry,
                                      const Registration& aRegistration,
                                      TimePoint aNow);

/// Takes in that a target's registration is gone.
RegistryChange TakeTargetRemoval(Entry& aEntry, const std::string& aTarget,
                                 TimePoint aNow);

/// Notes the store's epoch; views of earlier ones are listed anew.
void NoteEpoch(Entry& aEntry, std::uint64_t aEpoch, const char* aSource);

/// Takes in what a restored store says and was doubted for its time.
void SettleViews(Entry& aEntry, TimePoint aNow);

/// Tells the entries of the region what the store said: the changes, if any,
/// and that the view was current.
void PushChanges(Entry& aEntry, ObjectKind aKind, std::uint64_t aFrom,
                 const std::vector<ObjectChange>& aChanges);

/// Tells the entries of the region which objects targets served.
void PushWarmNews(Entry& aEntry);

/// @returns a kind's name in logs and messages
[[nodiscard]] const char* KindName(ObjectKind aKind) noexcept;

/// Keeps the own record in the store and removes those of dead entries.
boost::asio::awaitable<void> KeepRecords(Entry& aEntry);

/// Logs which entries of the region fell silent or are heard again.
void NoteLiveEntries(Entry& aEntry, TimePoint aNow);

/// Exchanges heartbeats with the entries of the region.
boost::asio::awaitable<void> ExchangeHeartbeats(Entry& aEntry);

/// Answers another entry's call.
boost::asio::awaitable<std::optional<std::string>> AnswerEntry(
  Entry& aEntry, std::string aKind, std::string aBody);

/// Serves until SIGTERM.
/// @returns the process's exit code
int RunEntry(boost::asio::io_context& aContext, Entry& aEntry);

} // namespace guavaline::detail
