#pragma once

/// State of one guavalined process. The slices' decisions are free functions
/// over its parts; the files beside this one feed them events and carry out
/// what they decide.

#include "daemon/settings.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "peers/peer_link.hpp"
#include "platform/store_client.hpp"

#include <guavaline/admission/budgets.hpp>
#include <guavaline/admission/slots.hpp>
#include <guavaline/attempts/attempts.hpp>
#include <guavaline/configuration/model.hpp>
#include <guavaline/crashes/crash_table.hpp>
#include <guavaline/membership/membership.hpp>
#include <guavaline/metrics/metrics.hpp>
#include <guavaline/steering/shares.hpp>
#include <guavaline/targets/health.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <map>
#include <random>
#include <set>

namespace guavaline::detail {

/// A request that waits for a slot; leaves its queue when it is destroyed.
struct Waiter
  : boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
  explicit Waiter(const boost::asio::any_io_executor& aExecutor)
    : mWake(aExecutor)
  {
  }

  std::uint32_t mPriority = 0;
  boost::asio::steady_timer mWake;
};

using WaitQueue =
  boost::intrusive::list<Waiter, boost::intrusive::constant_time_size<false>>;

/// What an entry keeps for one region of one service.
struct ServiceRegion
{
  WaitQueue mQueue;
  bool mBorrowing = false;  ///< A request for a loan is on its way.
  TimePoint mBorrowAfter{}; ///< No further request before then.
  TimePoint mWanted{};      ///< When slots were last short.
  TimePoint mPlaced{};      ///< When a request was last sent there.
  std::size_t mNextLender = 0;
  /// Peers that asked in vain, and when; the next idle slots go to them.
  std::map<std::string, TimePoint> mAskers;
  std::vector<std::uint32_t> mAskersExclude; ///< As the last one asked.
};

/// What an entry keeps for one service.
struct ServiceState
{
  Service mService;
  SlotTable mSlots;
  std::vector<TargetHealth> mHealth;
  std::map<std::string, ShareState> mShares; ///< By place.
  std::map<std::string, ServiceRegion> mRegions;
  std::map<std::string, Millis> mServiceTime; ///< Average by class.
  RetryBudget mRetries;
};

/// One non-idempotent request being resolved or run; callers that send the
/// same identity meanwhile wait for the same end.
struct Flight : boost::intrusive_ref_counter<Flight>
{
  explicit Flight(const boost::asio::any_io_executor& aExecutor)
    : mEnded(aExecutor, TimePoint::max())
  {
  }

  std::uint64_t mDigest = 0; ///< Of the request.
  std::optional<HttpResponse> mResponse;
  boost::asio::steady_timer mEnded; ///< Cancelled when the response is set.
};

/// Everything that one process holds.
struct Node
{
  Node(boost::asio::io_context& aContext, Settings aSettings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  Node(Node&&) = delete;
  Node& operator=(Node&&) = delete;

  [[nodiscard]] std::uint64_t Random() { return mRandom(); }
  [[nodiscard]] std::function<std::uint64_t()> RandomSource()
  {
    return [this] { return mRandom(); };
  }

  boost::asio::io_context& mContext;
  Settings mSettings;
  std::mt19937_64 mRandom;
  Incarnation mSelf;

  AcceptedConfiguration mAccepted;
  std::string mStored; ///< mAccepted as the store holds it, for peers.
  std::uint64_t mSettledVersion = 0;
  MembershipView mView;
  AttemptTable mAttempts;
  std::map<std::string, boost::intrusive_ptr<Flight>> mFlights;
  bool mRefusesNew = false; ///< In a planned stop, once callers have moved on.
  std::map<std::string, ServiceState> mServices;
  std::map<std::string, LinkBudget> mLinks; ///< By other region.
  CrashTable mCrashTable;
  /// Latest incarnation that recalled its loans, by entry; loans of earlier
  /// ones are not taken any more.
  std::map<std::string, std::uint64_t> mRecalledBy;
  Metrics mMetrics;

  HttpClient mTargetClient;
  std::uint64_t mLastExchange = 0; ///< With a target.
  HttpClient mStoreHttp;
  StoreClient mStore;
  PeerClient mPeers;
  HttpServer mHttpServer;
  PeerServer mPeerServer;
  std::set<std::string> mBlocked; ///< Addresses cut off by fault injection.
  bool mStopping = false;
};

/// Waits on the process's event loop.
boost::asio::awaitable<void> Sleep(Node& aNode, Millis aTime);

/// @returns the present calendar time
[[nodiscard]] WallTime WallNow();

/// Calls a peer by its entry name.
boost::asio::awaitable<PeerReply> CallEntry(Node& aNode,
                                            const std::string& aEntry,
                                            const char* aKind,
                                            std::string aBody, Millis aTimeout);

/// Serves until SIGTERM.
/// @returns the process's exit code
int RunNode(Settings aSettings);

} // namespace guavaline::detail
