/// Records of entries in the store, and heartbeats between entries.

#include "entry/messages.hpp"

#include <guavaline/core/hash.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

constexpr Millis kCallTimeout{ 1'000 };
/// Longest way of a heartbeat: 55 ms between regions, and a slow host.
constexpr Millis kTransit{ 100 };
constexpr Millis kRecordRetry{ 500 };
constexpr Millis kRecordCheck{ 3'000 };
/// Weight of the requests of one heartbeat period in the rate.
constexpr double kRateWeight = 0.5;
/// Leaves 40 of the 63 bits of an incarnation.
constexpr unsigned kShortIdShift = 23;

std::string MakeHeartbeat(Entry& aEntry)
{
  const auto now = Clock::now();
  EntryHeartbeat out;
  out.mRegion = PackNews(TellNews(aEntry.mRoster, now));
  out.mViews = TellViews(aEntry, now);
  auto refusals = TellRefusals(aEntry.mCrashTable, now);
  out.mCrashers = std::move(refusals.mRefused);
  out.mCrashes = std::move(refusals.mEvidence);
  if (auto limits = TellLimits(aEntry, now); !limits.empty()) {
    out.mLimits = std::move(limits);
  }
  return ToJson(out);
}

/// Takes in a heartbeat.
/// @param aTold  a time before which it was not written
/// @returns the kinds of which the peer's view goes further; nothing where
///          the heartbeat cannot be read
std::optional<std::vector<ObjectKind>> TakeIn(Entry& aEntry,
                                              const std::string& aBody,
                                              TimePoint aTold)
{
  EntryHeartbeat heartbeat;
  if (!FromJson(aBody, heartbeat).empty()) {
    return std::nullopt;
  }
  const auto news = UnpackNews(aEntry.mRoster, heartbeat.mRegion);
  if (!news) {
    return std::nullopt;
  }
  const auto now = Clock::now();
  HearNews(aEntry.mRoster, *news, now);
  HearRefusals(aEntry.mCrashTable, { heartbeat.mCrashers, heartbeat.mCrashes },
               now);
  HearLimits(aEntry, heartbeat.mLimits.value_or(std::vector<LimitNews>()), now);
  return HearViews(aEntry, heartbeat.mViews, aTold);
}

asio::awaitable<void> CallPeer(Entry& aEntry, EntryRecord aPeer)
{
  const auto endpoint = ParseEndpoint(aPeer.mPeerAddress);
  if (!endpoint) {
    co_return;
  }
  const std::string body = MakeHeartbeat(aEntry);
  const auto called = Clock::now();
  const auto reply = co_await aEntry.mPeers.Call(
    *endpoint, kHeartbeatKind, body, kCallTimeout, aPeer.mPeerKey);
  if (IsRefused(reply)) {
    NoteContact(aEntry.mRoster, Clock::now());
  }
  const auto newer =
    reply.mBody ? TakeIn(aEntry, *reply.mBody, called) : std::nullopt;
  if (!newer) {
    Log(LogLevel::Debug, "heartbeat_failed",
        { { "entry", aPeer.mName }, { "error", reply.mError.Describe() } });
    co_return;
  }
  for (const auto it : *newer) {
    co_await PullView(aEntry, aPeer, it);
  }
}

/// Takes in the requests since the last heartbeat.
void NoteOwnRate(Entry& aEntry)
{
  const std::chrono::duration<double> period = kHeartbeatPeriod;
  const double rate =
    static_cast<double>(std::exchange(aEntry.mTaken, 0)) / period.count();
  auto& own = aEntry.mRoster.mOwnRate;
  own += kRateWeight * (rate - own);
}

} // namespace

std::uint64_t ShortId(std::uint64_t aIncarnation) noexcept
{
  return aIncarnation >> kShortIdShift;
}

RegionNews PackNews(const std::vector<EntryNews>& aNews)
{
  RegionNews out;
  for (const auto& it : aNews) {
    const auto id = ShortId(it.mIncarnation);
    out.mEntries.push_back(id);
    out.mCounters.push_back(it.mCounter);
    out.mRates.push_back(static_cast<std::uint64_t>(std::llround(it.mRate)));
    if (it.mLeaving) {
      out.mLeaving.push_back(id);
    }
  }
  return out;
}

std::optional<std::vector<EntryNews>> UnpackNews(const Roster& aRoster,
                                                 const RegionNews& aNews)
{
  const auto n = aNews.mEntries.size();
  if (aNews.mCounters.size() != n || aNews.mRates.size() != n) {
    return std::nullopt;
  }
  std::unordered_map<std::uint64_t, const EntryRecord*> known;
  for (const auto& [name, entry] : aRoster.mOthers) {
    known.emplace(ShortId(entry.mRecord.mIncarnation), &entry.mRecord);
  }
  const std::set<std::uint64_t> leaving(aNews.mLeaving.begin(),
                                        aNews.mLeaving.end());
  std::vector<EntryNews> out;
  for (std::size_t k = 0; k < n; ++k) {
    const auto it = known.find(aNews.mEntries[k]);
    if (it != known.end()) {
      out.push_back({ it->second->mName, it->second->mIncarnation,
                      aNews.mCounters[k], leaving.count(it->first) > 0,
                      static_cast<double>(aNews.mRates[k]) });
    }
  }
  return out;
}

void NoteLiveEntries(Entry& aEntry, TimePoint aNow)
{
  std::set<std::string> live;
  for (auto& it : LiveInRegion(aEntry.mRoster, aNow)) {
    live.insert(std::move(it));
  }
  const auto tell = [&](const std::set<std::string>& aSome,
                        const std::set<std::string>& aNotIn, LogLevel aLevel,
                        const char* aEvent) {
    for (const auto& it : aSome) {
      if (aNotIn.count(it) == 0) {
        Log(aLevel, aEvent,
            { { "entry", it }, { "live", std::to_string(live.size()) } });
      }
    }
  };
  tell(aEntry.mLiveEntries, live, LogLevel::Warning, "entry_silent");
  tell(live, aEntry.mLiveEntries, LogLevel::Info, "entry_heard");
  aEntry.mLiveEntries = std::move(live);
  const bool isolated = IsIsolated(aEntry.mRoster, aNow);
  if (isolated != aEntry.mIsolated) {
    Log(isolated ? LogLevel::Warning : LogLevel::Info,
        isolated ? "isolated" : "contact_regained",
        { { "live", std::to_string(aEntry.mLiveEntries.size()) },
          { "known", std::to_string(aEntry.mRoster.mOthers.size() + 1) } });
    aEntry.mIsolated = isolated;
  }
}

asio::awaitable<void> ExchangeHeartbeats(Entry& aEntry)
{
  for (std::uint64_t turn = 0;; ++turn) {
    ++aEntry.mRoster.mOwnCounter;
    NoteOwnRate(aEntry);
    for (const auto& it : PeersToCall(aEntry.mRoster, turn)) {
      asio::co_spawn(aEntry.mContext, CallPeer(aEntry, it), asio::detached);
    }
    co_await Pause(aEntry, kHeartbeatPeriod);
  }
}

asio::awaitable<std::optional<std::string>> AnswerEntry(Entry& aEntry,
                                                        std::string aKind,
                                                        std::string aBody)
{
  if (aKind == kPullKind) {
    co_return AnswerPull(aEntry, aBody);
  }
  if (aKind == kPushKind) {
    TakePush(aEntry, aBody);
    co_return std::string("{}");
  }
  if (aKind == kWarmKind) {
    TakeWarmNews(aEntry, aBody);
    co_return std::string("{}");
  }
  if (aKind == kLoadKind) {
    if (!HearLoadNews(aEntry, aBody, Clock::now())) {
      co_return std::nullopt;
    }
    co_return std::string("{}");
  }
  if (aKind == kCrashKind) {
    TakeCrashNews(aEntry, aBody);
    co_return std::string("{}");
  }
  if (aKind == kAccountKind) {
    TakeAccountNews(aEntry, aBody);
    co_return std::string("{}");
  }
  if (aKind == kLimitKind) {
    TakeLimitNews(aEntry, aBody);
    co_return std::string("{}");
  }
  // The caller pulls from the answer what it lacks; what this entry lacks it
  // pulls in its own turn.
  if (aKind != kHeartbeatKind ||
      !TakeIn(aEntry, aBody, Clock::now() - kTransit)) {
    co_return std::nullopt;
  }
  co_return MakeHeartbeat(aEntry);
}

asio::awaitable<void> KeepRecords(Entry& aEntry)
{
  while (!aEntry.mStopping) {
    if (!aEntry.mRecordWritten) {
      aEntry.mRecordWritten = co_await aEntry.mPlatform.mWriteEntry(
                                aEntry.mRoster.mSelf) == StoreStatus::Ok;
      co_await Pause(aEntry, kRecordRetry);
      continue;
    }
    co_await Pause(aEntry, kRecordCheck);
    for (const auto& it : RecordsToRemove(aEntry.mRoster, Clock::now())) {
      Log(LogLevel::Info, "dead_entry_removed", { { "entry", it.mName } });
      co_await aEntry.mPlatform.mRemoveEntry(it.mName, it.mRevision);
    }
  }
}

} // namespace guavaline::detail
