/// Passes views of the store on between entries.

#include "entry/messages.hpp"

#include <guavaline/core/hash.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

constexpr Millis kCallTimeout{ 1'000 };
/// Larger changes are fetched from the store, whose link is wider than those
/// of entries.
constexpr std::size_t kMaxPassedOn = 32'768;
/// Longest usual way of a push, which stays in the region.
constexpr Millis kPushTransit{ 30 };
/// Ages above this are told as this.
constexpr Millis kMaxAge{ 600'000 };

/// @returns an epoch as messages carry it
std::optional<std::uint64_t> TellEpoch(const ObjectView& aView)
{
  return aView.mEpoch == kFirstEpoch ? std::nullopt
                                     : std::optional(aView.mEpoch);
}

/// @returns true where a peer's revisions compare with those of a view. A
///          later epoch is noted, so that the view is listed anew.
bool IsSameEpoch(Entry& aEntry, const ObjectView& aView,
                 const std::optional<std::uint64_t>& aTold)
{
  const auto epoch = aTold.value_or(kFirstEpoch);
  NoteEpoch(aEntry, epoch, "entry");
  return epoch == aView.mEpoch;
}

ViewNews NewsOf(ObjectKind aKind, const ObjectView& aView, TimePoint aNow)
{
  // Rounded up: an age that is told too low makes the view of the receiver
  // count as confirmed later than it was.
  const auto age = std::chrono::ceil<Millis>(aNow - aView.mConfirmed);
  return { aKind, aView.mRevision, std::clamp(age, Millis(0), kMaxAge),
           TellEpoch(aView) };
}

ViewMessage MakeMessage(ObjectKind aKind, const ObjectView& aView,
                        std::uint64_t aFrom,
                        const std::vector<ObjectChange>& aChanges)
{
  ViewMessage out;
  out.mView = NewsOf(aKind, aView, Clock::now());
  out.mFrom = aFrom;
  std::size_t bytes = 0;
  for (const auto& it : aChanges) {
    bytes += it.mName.size() + it.mSpec.size();
  }
  out.mWhole = bytes <= kMaxPassedOn;
  if (!out.mWhole) {
    return out;
  }
  for (const auto& it : aChanges) {
    out.mNames.push_back(it.mName);
    out.mSpecs.push_back(it.mRemoved ? std::string() : it.mSpec);
    out.mRevisions.push_back(it.mRevision);
  }
  return out;
}

/// Takes in another entry's changes, if they join on to the own view.
/// @param aTold  a time before which it did not tell
void TakeMessage(Entry& aEntry, const ViewMessage& aMessage, TimePoint aTold)
{
  auto& state = aEntry.mFollows[aMessage.mView.mKind];
  auto& view = state.mView;
  if (!IsSameEpoch(aEntry, view, aMessage.mView.mEpoch)) {
    return;
  }
  const bool joins = aMessage.mWhole && view.mRevision >= aMessage.mFrom;
  if (!joins && aMessage.mView.mRevision > view.mRevision) {
    state.mBehind = true;
    return;
  }
  const auto n = aMessage.mNames.size();
  if (!aMessage.mWhole || !view.mListed || view.mRevision < aMessage.mFrom ||
      aMessage.mSpecs.size() != n || aMessage.mRevisions.size() != n) {
    return;
  }
  std::vector<ObjectChange> changes;
  for (std::size_t k = 0; k < n; ++k) {
    changes.push_back({ aMessage.mNames[k], aMessage.mRevisions[k],
                        aMessage.mSpecs[k].empty(), aMessage.mSpecs[k] });
  }
  const auto now = Clock::now();
  const bool current = aMessage.mView.mRevision >= view.mRevision;
  const auto fresh = TakeChanges(view, changes, aMessage.mView.mRevision);
  if (current) {
    Confirm(view, aTold - aMessage.mView.mAge);
  }
  ApplyChanges(aEntry, aMessage.mView.mKind, fresh, now);
}

asio::awaitable<void> PushTo(Entry& aEntry, EntryRecord aPeer,
                             const char* aKind, std::string aBody)
{
  const auto endpoint = ParseEndpoint(aPeer.mPeerAddress);
  if (endpoint) {
    // A push that is lost is made good by the next heartbeat or push.
    co_await aEntry.mPeers.Call(*endpoint, aKind, std::move(aBody),
                                kCallTimeout, aPeer.mPeerKey);
  }
}

} // namespace

void PushToAll(Entry& aEntry, const std::vector<EntryRecord>& aPeers,
               const char* aKind, const std::string& aBody)
{
  for (const auto& it : aPeers) {
    asio::co_spawn(aEntry.mContext, PushTo(aEntry, it, aKind, aBody),
                   asio::detached);
  }
}

std::vector<ViewNews> TellViews(const Entry& aEntry, TimePoint aNow)
{
  std::vector<ViewNews> out;
  for (const auto& [kind, state] : aEntry.mFollows) {
    if (state.mView.mListed) {
      out.push_back(NewsOf(kind, state.mView, aNow));
    }
  }
  return out;
}

std::vector<ObjectKind> HearViews(Entry& aEntry,
                                  const std::vector<ViewNews>& aViews,
                                  TimePoint aTold)
{
  std::vector<ObjectKind> out;
  for (const auto& it : aViews) {
    auto& view = aEntry.mFollows[it.mKind].mView;
    if (!IsSameEpoch(aEntry, view, it.mEpoch) || !view.mListed) {
      continue;
    }
    if (it.mRevision > view.mRevision) {
      out.push_back(it.mKind);
    } else if (it.mRevision == view.mRevision) {
      Confirm(view, aTold - it.mAge);
    }
  }
  return out;
}

asio::awaitable<void> PullView(Entry& aEntry, EntryRecord aPeer,
                               ObjectKind aKind)
{
  const auto endpoint = ParseEndpoint(aPeer.mPeerAddress);
  if (!endpoint) {
    co_return;
  }
  const auto& view = aEntry.mFollows[aKind].mView;
  const ViewQuestion question{ aKind, view.mRevision, TellEpoch(view) };
  const std::string body = ToJson(question);
  const auto called = Clock::now();
  const auto reply = co_await aEntry.mPeers.Call(*endpoint, kPullKind, body,
                                                 kCallTimeout, aPeer.mPeerKey);
  ViewMessage message;
  if (reply.mBody && FromJson(*reply.mBody, message).empty()) {
    TakeMessage(aEntry, message, called);
  }
}

std::string AnswerPull(Entry& aEntry, const std::string& aBody)
{
  ViewQuestion question;
  ViewMessage message;
  if (!FromJson(aBody, question).empty()) {
    return ToJson(message);
  }
  const auto& view = aEntry.mFollows[question.mKind].mView;
  if (!IsSameEpoch(aEntry, view, question.mEpoch)) {
    return ToJson(message);
  }
  if (const auto changes = ChangesSince(view, question.mFrom)) {
    message = MakeMessage(question.mKind, view, question.mFrom, *changes);
  }
  return ToJson(message);
}

void TakePush(Entry& aEntry, const std::string& aBody)
{
  ViewMessage message;
  if (FromJson(aBody, message).empty()) {
    TakeMessage(aEntry, message, Clock::now() - kPushTransit);
  }
}

void PushChanges(Entry& aEntry, ObjectKind aKind, std::uint64_t aFrom,
                 const std::vector<ObjectChange>& aChanges)
{
  const auto& view = aEntry.mFollows[aKind].mView;
  const auto body = ToJson(MakeMessage(aKind, view, aFrom, aChanges));
  PushToAll(aEntry, LivePeers(aEntry.mRoster, Clock::now()), kPushKind, body);
}

void PushWarmNews(Entry& aEntry)
{
  const WarmNews news{ TakeUntold(aEntry.mWarm) };
  if (!news.mServed.empty()) {
    PushToAll(aEntry, ServingPeers(aEntry.mRoster, Clock::now()), kWarmKind,
              ToJson(news));
  }
}

void PushLimitNews(Entry& aEntry, const LimitNews& aNews)
{
  std::vector<EntryRecord> peers;
  for (const auto& [name, entry] : aEntry.mRoster.mOthers) {
    peers.push_back(entry.mRecord);
  }
  PushToAll(aEntry, peers, kLimitKind, ToJson(LimitMessage{ { aNews } }));
}

void TakeLimitNews(Entry& aEntry, const std::string& aBody)
{
  LimitMessage message;
  if (FromJson(aBody, message).empty()) {
    HearLimits(aEntry, message.mLimits, Clock::now());
  }
}

void PushCrashNews(Entry& aEntry, const CrashEvidence& aEvidence,
                   bool aToOtherRegions)
{
  const auto now = Clock::now();
  CrashMessage message{ PackCrashes(aEvidence, now), false };
  PushToAll(aEntry, LivePeers(aEntry.mRoster, now), kCrashKind,
            ToJson(message));
  if (aToOtherRegions) {
    message.mPassOn = true;
    PushToAll(aEntry, OneOfEachRegion(aEntry.mRoster, aEntry.mRandom()),
              kCrashKind, ToJson(message));
  }
}

void TakeCrashNews(Entry& aEntry, const std::string& aBody)
{
  CrashMessage message;
  if (!FromJson(aBody, message).empty()) {
    return;
  }
  const auto now = Clock::now();
  const auto evidence = UnpackCrashes(message.mNews, now);
  if (!evidence) {
    return;
  }
  const auto fresh = HearEvidence(aEntry.mCrashTable, *evidence, now);
  if (message.mPassOn && (!fresh.mCrashes.empty() || !fresh.mServed.empty())) {
    PushCrashNews(aEntry, fresh, false);
  }
}

void PushAccountNews(Entry& aEntry, const AccountNews& aNews, TimePoint aNow)
{
  const auto peers = aNews.mPassOn
                       ? OneOfEachRegion(aEntry.mRoster, aEntry.mRandom())
                       : ServingPeers(aEntry.mRoster, aNow);
  PushToAll(aEntry, peers, kAccountKind, ToJson(aNews));
}

void TakeWarmNews(Entry& aEntry, const std::string& aBody)
{
  WarmNews news;
  if (FromJson(aBody, news).empty()) {
    HearServed(aEntry.mWarm, news.mServed, Clock::now());
  }
}

} // namespace guavaline::detail
