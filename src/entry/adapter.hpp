#pragma once

/// What an entry needs from the platform that it runs on: a store with
/// watches, the decoding of stored objects, and the names of headers. The
/// platform's folder provides it.

#include "entry/settings.hpp"
#include "http/message.hpp"
#include "platform/store_client.hpp"

#include <guavaline/core/error.hpp>
#include <guavaline/registry/registry.hpp>
#include <guavaline/roster/roster.hpp>
#include <guavaline/routing/routes.hpp>
#include <guavaline/views/object_view.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace guavaline::detail {

/// What stored objects are about.
enum class ObjectKind {
  Routing = 1, ///< The configuration.
  Targets,     ///< Registrations of targets.
  Evacuations, ///< Failure domains to be emptied.
  Entries,     ///< Records of this system's entries.
};

/// The answer to a listing or a watch.
struct ObjectReply
{
  StoreStatus mStatus = StoreStatus::Unavailable;
  bool mHistoryGone = false; ///< A watch must start anew from a listing.
  bool mMore = false;        ///< A listing goes on behind the last name.
  /// Rises each time the store comes back from an older copy of itself, after
  /// which it gives revisions out again. Nothing without an answer.
  std::optional<std::uint64_t> mEpoch;
  std::uint64_t mRevision = 0;
  std::vector<ObjectChange> mChanges;
  std::size_t mUnreadable = 0; ///< Objects without a name that can be read.
  Error mError;                ///< Set where the status is not Ok.
};

/// Header names of requests and answers on the platform.
struct HeaderNames
{
  std::string mRequestId;
  std::string mTimeLeft; ///< Milliseconds until the caller gives up.
  std::string mTargetId; ///< Only the target with this id runs the request.
  std::string mNotRun;   ///< On answers: the target did not run it.
  std::string mLoad;     ///< On answers: the target's load.
  std::string mProof;    ///< On answers: the target's mark on its answer.
  /// On answers: requests a second that the target takes from all entries.
  std::string mRateLimit;
  /// On answers: the target leaves; it is to get nothing more.
  std::string mLeaving;
  /// On refusals: how long the target wants nothing from this entry.
  std::string mPause;
  std::string mCredentials; ///< On requests: the caller's key.
  std::string mAccount;     ///< Towards targets: the client account's name.
};

/// A caller's question for entries.
struct LookupQuestion
{
  std::string mHost;
  std::string mRegion;
};

struct PlatformAdapter
{
  template<class T>
  using Awaitable = boost::asio::awaitable<T>;

  HeaderNames mHeaders;
  unsigned mWrongTargetStatus = 421; ///< Another target has the address.
  /// Statuses that promise to callers that a request has not run.
  std::set<unsigned> mPromiseStatuses{ 408, 421, 429, 503 };

  /// Reads the settings anew.
  std::function<Problems(EntrySettings&)> mReadSettings;
  std::function<Awaitable<ObjectReply>(ObjectKind, std::string aAfter)> mList;
  std::function<Awaitable<ObjectReply>(ObjectKind, std::uint64_t aFrom,
                                       Millis aWait)>
    mWatch;
  /// Writes an entry's record, whatever its present revision.
  std::function<Awaitable<StoreStatus>(EntryRecord)> mWriteEntry;
  /// Removes an entry's record if it has a revision; 0 for any.
  std::function<Awaitable<StoreStatus>(std::string, std::uint64_t)>
    mRemoveEntry;

  std::function<std::optional<RoutingTable>(const ObjectChange&)> mReadRouting;
  std::function<std::optional<Registration>(const ObjectChange&)> mReadTarget;
  std::function<std::optional<EntryRecord>(const ObjectChange&)> mReadEntry;

  /// @returns the object that a request is about; empty where it says none
  std::function<std::string(const HttpRequest&)> mObjectOf;
  std::function<std::optional<ReportedLoad>(std::string_view)> mReadLoad;
  /// @returns requests a second; nothing where the text is no rate
  std::function<std::optional<double>(std::string_view)> mReadRateLimit;
  /// @returns how long a target wants nothing; nothing where the text is no
  ///          time
  std::function<std::optional<Millis>(std::string_view)> mReadPause;
  std::function<std::optional<LookupQuestion>(const HttpRequest&)> mReadLookup;
  std::function<HttpResponse(const std::vector<std::string>&, Millis aTtl)>
    mWriteLookup;
};

} // namespace guavaline::detail
