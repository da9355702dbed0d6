#pragma once

/// Messages between entry hosts.

#include "codec/described.hpp"
#include "crashes/crash_wire.hpp"
#include "entry/account_limits.hpp"
#include "entry/crashes.hpp"
#include "entry/entry.hpp"
#include "entry/rate_limits.hpp"

namespace guavaline::detail {

BOOST_DESCRIBE_ENUM(ObjectKind, Routing, Targets, Evacuations, Entries)

inline constexpr const char* kHeartbeatKind = "entry-heartbeat";
inline constexpr const char* kPullKind = "entry-view-changes";
inline constexpr const char* kPushKind = "entry-view-news";
inline constexpr const char* kWarmKind = "entry-warm-news";
inline constexpr const char* kLimitKind = "entry-limit-news";
inline constexpr const char* kLoadKind = "entry-load-news";
inline constexpr const char* kCrashKind = "entry-crash-news";
inline constexpr const char* kAccountKind = "entry-account-news";

/// Objects that targets lately served, by WarmId.
struct WarmNews
{
  std::vector<std::uint64_t> mServed;
};

/// An entry's requests in flight at targets, and reports that it got from
/// them. Lists of numbers, as a message goes out each 200 ms.
struct LoadNews
{
  std::uint64_t mEntry = 0;             ///< The sender, by ShortId.
  std::vector<std::uint64_t> mTargets;  ///< By LoadId.
  std::vector<std::uint64_t> mInFlight; ///< One for each target.
  /// Reports of the first of the targets.
  std::vector<std::uint64_t> mRequests; ///< Running and waiting.
  std::vector<std::uint64_t> mOwn;      ///< Of them, the sender's.
  std::vector<std::uint64_t> mPercents; ///< Run time; 0 for none.
  std::vector<std::uint64_t> mAges;     ///< Milliseconds.
};

/// What targets said of their rate limits.
struct LimitMessage
{
  std::vector<LimitNews> mLimits;
};

/// Tells an entry of crashes.
struct CrashMessage
{
  CrashNews mNews;
  bool mPassOn = false; ///< To the entries of the receiver's region.
};

/// How far a view goes, and how long ago the store confirmed it.
struct ViewNews
{
  ObjectKind mKind = ObjectKind::Routing;
  std::uint64_t mRevision = 0;
  Millis mAge{ 0 };
  std::optional<std::uint64_t> mEpoch; ///< Left out in the first one.
};

/// News of the entries of a region. An item is some ten bytes long: each
/// heartbeat carries one for every entry.
struct RegionNews
{
  std::vector<std::uint64_t> mEntries; ///< By ShortId.
  std::vector<std::uint64_t> mCounters;
  std::vector<std::uint64_t> mRates;   ///< Whole requests a second.
  std::vector<std::uint64_t> mLeaving; ///< Those of the entries that leave.
};

/// A heartbeat and its answer.
struct EntryHeartbeat
{
  RegionNews mRegion;
  std::vector<std::string> mCrashers; ///< Digests of requests that crash.
  std::vector<ViewNews> mViews;
  std::optional<std::vector<LimitNews>> mLimits; ///< Left out where empty.
  std::optional<CrashNews> mCrashes;             ///< Left out where empty.
};

/// Asks for the changes of a view after a revision.
struct ViewQuestion
{
  ObjectKind mKind = ObjectKind::Routing;
  std::uint64_t mFrom = 0;
  std::optional<std::uint64_t> mEpoch; ///< Left out in the first one.
};

/// Changes of a view after one revision up to another.
struct ViewMessage
{
  ViewNews mView;
  std::uint64_t mFrom = 0;
  bool mWhole = false; ///< All changes in between are there.
  std::vector<std::string> mNames;
  std::vector<std::string> mSpecs; ///< An empty text for a removal.
  std::vector<std::uint64_t> mRevisions;
};

BOOST_DESCRIBE_STRUCT(WarmNews, (), (mServed))
BOOST_DESCRIBE_STRUCT(LoadNews, (),
                      (mEntry, mTargets, mInFlight, mRequests, mOwn, mPercents,
                       mAges))
BOOST_DESCRIBE_STRUCT(LimitNews, (), (mTarget, mStarted, mPerSecond, mAge))
BOOST_DESCRIBE_STRUCT(LimitMessage, (), (mLimits))
BOOST_DESCRIBE_STRUCT(AccountNews, (),
                      (mFrom, mOfRegion, mPassOn, mEntries, mAge, mCounted,
                       mAccounts, mAsked, mAdmitted))
BOOST_DESCRIBE_STRUCT(ViewNews, (), (mKind, mRevision, mAge, mEpoch))
BOOST_DESCRIBE_STRUCT(RegionNews, (), (mEntries, mCounters, mRates, mLeaving))
BOOST_DESCRIBE_STRUCT(CrashMessage, (), (mNews, mPassOn))
BOOST_DESCRIBE_STRUCT(EntryHeartbeat, (),
                      (mRegion, mCrashers, mViews, mLimits, mCrashes))
BOOST_DESCRIBE_STRUCT(ViewQuestion, (), (mKind, mFrom, mEpoch))
BOOST_DESCRIBE_STRUCT(ViewMessage, (),
                      (mView, mFrom, mWhole, mNames, mSpecs, mRevisions))

/// @returns the part of an incarnation that tells entries apart in messages
[[nodiscard]] std::uint64_t ShortId(std::uint64_t aIncarnation) noexcept;

/// Writes the news of a region for a message.
[[nodiscard]] RegionNews PackNews(const std::vector<EntryNews>& aNews);

/// @returns the news of entries that the roster knows; nothing where the
///          message is malformed
[[nodiscard]] std::optional<std::vector<EntryNews>> UnpackNews(
  const Roster& aRoster, const RegionNews& aNews);

/// @returns what to tell of all views
[[nodiscard]] std::vector<ViewNews> TellViews(const Entry& aEntry,
                                              TimePoint aNow);

/// Takes in how far a peer's views go.
/// @param aTold  a time before which the peer did not tell. Ages count from it:
///               counted from the arrival, each message on the way from entry
///               to entry would make a view look confirmed later than it was.
/// @returns the kinds of which the peer has more
[[nodiscard]] std::vector<ObjectKind> HearViews(
  Entry& aEntry, const std::vector<ViewNews>& aViews, TimePoint aTold);

/// Fetches what a peer has beyond the own view.
boost::asio::awaitable<void> PullView(Entry& aEntry, EntryRecord aPeer,
                                      ObjectKind aKind);

/// Answers a peer's question for changes.
[[nodiscard]] std::string AnswerPull(Entry& aEntry, const std::string& aBody);

/// Takes in changes that a peer sent unasked.
void TakePush(Entry& aEntry, const std::string& aBody);

/// Tells all entries what a target said of its limit.
void PushLimitNews(Entry& aEntry, const LimitNews& aNews);

/// Takes in what targets said to a peer of their limits.
void TakeLimitNews(Entry& aEntry, const std::string& aBody);

/// Tells the entries of the own region of crashes, and one of each other
/// region, which passes it on there.
void PushCrashNews(Entry& aEntry, const CrashEvidence& aEvidence,
                   bool aToOtherRegions);

/// Takes in what a peer saw of crashes.
void TakeCrashNews(Entry& aEntry, const std::string& aBody);

/// Tells the serving entries of the region what was counted of accounts; news
/// to be passed on goes to one entry of each other region instead.
void PushAccountNews(Entry& aEntry, const AccountNews& aNews, TimePoint aNow);

/// Sends a message to entries, without waiting for their answers.
void PushToAll(Entry& aEntry, const std::vector<EntryRecord>& aPeers,
               const char* aKind, const std::string& aBody);

/// @returns a life of a target as messages on loads name it
[[nodiscard]] std::uint64_t LoadId(const LiveTarget& aTarget) noexcept;

/// Collects what has changed at contended services' targets since the last
/// message, and marks it as sent.
[[nodiscard]] LoadNews TakeLoadNews(Entry& aEntry, TimePoint aNow);

/// Takes in another entry's loads. Targets and lives of targets that this entry
/// does not know are left out.
/// @returns false where the message is malformed
bool HearLoadNews(Entry& aEntry, const std::string& aBody, TimePoint aNow);

/// Takes in which objects a peer had served.
void TakeWarmNews(Entry& aEntry, const std::string& aBody);

} // namespace guavaline::detail
