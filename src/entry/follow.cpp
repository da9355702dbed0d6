/// Keeps views of the store's objects: a listing, then watches. While the
/// store cannot be reached the last accepted view stays in force.

#include "entry/accounts.hpp"
#include "entry/crashes.hpp"
#include "entry/limits.hpp"

#include <algorithm>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

/// Pause between watches, in which changes gather; each call has its price.
constexpr Millis kGatherTime{ 300 };
/// How often an entry that hears from others looks at its view's age.
constexpr Millis kAgeCheck{ 100 };
/// Longest usual way of the store's answer, which tells of the time when it was
/// written.
constexpr Millis kAnswerTransit{ 60 };
/// Calls between entries need current records: their keys change with each
/// start, and after a start of all of them nobody can be heard without.
constexpr Millis kEntriesBound{ 3'000 };

/// The records of targets that have ended go after three of their heartbeats;
/// operators and targets have written again by then.
constexpr Millis kDoubtTime{ 6'000 };

FollowTimes TimesFor(const Entry& aEntry, ObjectKind aKind)
{
  const auto& bounds = aEntry.mSettings.mBounds;
  switch (aKind) {
    case ObjectKind::Routing:
      return FollowTimesFor(bounds.mRoutingAge);
    case ObjectKind::Targets:
      return FollowTimesFor(bounds.mTargetAge);
    case ObjectKind::Evacuations:
      return FollowTimesFor(bounds.mEvacuationAge);
    case ObjectKind::Entries:
      break;
  }
  return FollowTimesFor(kEntriesBound);
}

void TakeRouting(Entry& aEntry, const ObjectChange& aChange)
{
  if (aChange.mRemoved) {
    return;
  }
  auto table = aEntry.mPlatform.mReadRouting(aChange);
  if (!table) {
    Log(LogLevel::Error, "configuration_unreadable",
        { { "object", aChange.mName },
          { "revision", std::to_string(aChange.mRevision) } });
    return;
  }
  if (table->mVersion <= aEntry.mRouting.mVersion) {
    return;
  }
  Log(LogLevel::Info, "configuration_accepted",
      { { "version", std::to_string(table->mVersion) },
        { "before", std::to_string(aEntry.mRouting.mVersion) },
        { "routes", std::to_string(table->mRoutes.size()) },
        { "accounts", std::to_string(table->mAccounts.size()) } });
  TakeAccounts(aEntry, *table);
  aEntry.mRouting = std::move(*table);
  ForgetGoneRoutes(aEntry);
  aEntry.mCallerServer.SetLimits(
    LimitsFor(aEntry.mSettings.mLimits, aEntry.mRouting.mLimits));
}

const char* ChangeName(RegistryChange aChange)
{
  switch (aChange) {
    case RegistryChange::Joined:
      return "joined";
    case RegistryChange::Restarted:
      return "restarted";
    case RegistryChange::Draining:
      return "draining";
    case RegistryChange::Lapsed:
      return "lapsed";
    case RegistryChange::Left:
      return "left";
    case RegistryChange::None:
      break;
  }
  return "";
}

/// Gives a cold target this entry's turn among those that may send to it.
void SetColdTurn(Entry& aEntry, const std::string& aTarget, TimePoint aNow)
{
  const auto it = aEntry.mRegistry.mTargets.find(aTarget);
  if (it != aEntry.mRegistry.mTargets.end() && aNow < it->second->mColdUntil) {
    it->second->mColdTurn = TurnOf(aEntry.mRoster, it->second->mHash);
  }
}

void TakeTarget(Entry& aEntry, const ObjectChange& aChange, TimePoint aNow)
{
  auto change = RegistryChange::None;
  if (aChange.mRemoved) {
    change = TakeTargetRemoval(aEntry, aChange.mName, aNow);
  } else if (const auto target = aEntry.mPlatform.mReadTarget(aChange)) {
    change = TakeTargetRegistration(aEntry, *target, aNow);
  } else {
    // Another writer's object, or one that cannot be read: nothing to use.
    change = TakeTargetRemoval(aEntry, aChange.mName, aNow);
    Log(LogLevel::Warning, "registration_unreadable",
        { { "target", aChange.mName } });
  }
  if (change != RegistryChange::None) {
    Log(LogLevel::Info, "target_changed",
        { { "target", aChange.mName },
          { "change", ChangeName(change) },
          { "revision", std::to_string(aChange.mRevision) } });
  }
}

void TakeDomain(Entry& aEntry, const ObjectChange& aChange, TimePoint aNow)
{
  if (TakeEvacuation(aEntry.mRegistry, aChange.mName, !aChange.mRemoved,
                     aNow)) {
    Log(LogLevel::Info, "evacuation_changed",
        { { "failure_domain", aChange.mName },
          { "emptied", aChange.mRemoved ? "no" : "yes" },
          { "revision", std::to_string(aChange.mRevision) } });
  }
}

/// Notes a record under the own name that an earlier life wrote.
void CheckOwnRecord(Entry& aEntry, const EntryRecord& aRecord)
{
  const auto& self = aEntry.mRoster.mSelf;
  aEntry.mRecordWritten =
    aEntry.mRecordWritten &&
    (aRecord.mName != self.mName || aRecord.mIncarnation == self.mIncarnation);
}

void TakeEntry(Entry& aEntry, const ObjectChange& aChange, TimePoint aNow)
{
  if (aChange.mRemoved) {
    TakeRecordRemoval(aEntry.mRoster, aChange.mName);
    // Others may have taken this entry for dead while it could not be heard.
    aEntry.mRecordWritten =
      aEntry.mRecordWritten && aChange.mName != aEntry.mSettings.mName;
  } else if (const auto record = aEntry.mPlatform.mReadEntry(aChange)) {
    TakeRecord(aEntry.mRoster, *record, aNow);
    CheckOwnRecord(aEntry, *record);
  } else {
    Log(LogLevel::Warning, "entry_record_unreadable",
        { { "entry", aChange.mName } });
    return;
  }
  aEntry.mDisturbed = std::max(aEntry.mDisturbed, aNow);
  Log(LogLevel::Info, "entry_record_changed",
      { { "entry", aChange.mName },
        { "removed", aChange.mRemoved ? "yes" : "no" } });
}

void TakeChange(Entry& aEntry, ObjectKind aKind, const ObjectChange& aChange,
                TimePoint aNow)
{
  switch (aKind) {
    case ObjectKind::Routing:
      return TakeRouting(aEntry, aChange);
    case ObjectKind::Targets:
      return TakeTarget(aEntry, aChange, aNow);
    case ObjectKind::Evacuations:
      return TakeDomain(aEntry, aChange, aNow);
    case ObjectKind::Entries:
      return TakeEntry(aEntry, aChange, aNow);
  }
}

void NoteReply(Entry& aEntry, ObjectKind aKind, const char* aCall,
               const ObjectReply& aReply, TimePoint aNow)
{
  auto& state = aEntry.mFollows[aKind];
  aEntry.mMetrics.Count("store_calls", std::string("kind=\"") +
                                         KindName(aKind) + "\",call=\"" +
                                         aCall + "\"");
  const bool worked = aReply.mStatus == StoreStatus::Ok || aReply.mHistoryGone;
  NoteEpoch(aEntry, aReply.mEpoch.value_or(kFirstEpoch), "store");
  if (aReply.mUnreadable > 0) {
    Log(LogLevel::Warning, "objects_unreadable",
        { { "kind", KindName(aKind) },
          { "call", aCall },
          { "objects", std::to_string(aReply.mUnreadable) } });
  }
  if (worked) {
    NoteContact(aEntry.mRoster, aNow);
  }
  // Of whatever kind the first call is that works, it ends the outage.
  if (InOutage(aEntry.mStoreAccess, aNow)) {
    NoteRegistryTrouble(aEntry.mRegistry, aNow);
  }
  NoteCall(aEntry.mStoreAccess, worked, aNow);
  aEntry.mDisturbed = worked ? aEntry.mDisturbed : aNow;
  if (NoteCall(state.mAccess, worked, aNow)) {
    Log(worked ? LogLevel::Info : LogLevel::Warning,
        worked ? "store_regained" : "store_lost",
        { { "kind", KindName(aKind) },
          { "revision", std::to_string(state.mView.mRevision) },
          { "error", worked ? "" : aReply.mError.Describe() } });
  }
}

/// A whole listing of one kind.
struct Listing
{
  std::vector<ObjectChange> mObjects;
  std::uint64_t mEpoch = kFirstEpoch;
  std::uint64_t mRevision = 0;
};

/// Lists all objects of a kind, page by page.
/// @returns nothing where that failed
asio::awaitable<std::optional<Listing>> ListPages(Entry& aEntry,
                                                  ObjectKind aKind)
{
  Listing out;
  std::string after;
  for (bool first = true;; first = false) {
    auto reply = co_await aEntry.mPlatform.mList(aKind, after);
    NoteReply(aEntry, aKind, "list", reply, Clock::now());
    const auto epoch = reply.mEpoch.value_or(kFirstEpoch);
    if (reply.mStatus != StoreStatus::Ok || (!first && epoch != out.mEpoch)) {
      co_return std::nullopt;
    }
    out.mEpoch = epoch;
    // Changes between pages come again with the watch.
    out.mRevision =
      first ? reply.mRevision : std::min(out.mRevision, reply.mRevision);
    for (auto& it : reply.mChanges) {
      after = it.mName;
      out.mObjects.push_back(std::move(it));
    }
    if (!reply.mMore || reply.mChanges.empty()) {
      co_return out;
    }
  }
}

/// A store that was restored may have lost this entry's record.
void FindOwnRecord(Entry& aEntry, const Listing& aListing)
{
  const auto& self = aEntry.mRoster.mSelf;
  const auto own =
    std::find_if(aListing.mObjects.begin(), aListing.mObjects.end(),
                 [&](const ObjectChange& a) { return a.mName == self.mName; });
  const auto record = own == aListing.mObjects.end()
                        ? std::nullopt
                        : aEntry.mPlatform.mReadEntry(*own);
  aEntry.mRecordWritten = aEntry.mRecordWritten && record &&
                          record->mIncarnation == self.mIncarnation;
}

DoubtTimes DoubtTimesFor(ObjectKind aKind)
{
  // Targets that are missing have a grace period of their own.
  return { kDoubtTime, aKind == ObjectKind::Targets ? Millis(0) : kDoubtTime };
}

/// Takes in the first listing of a later epoch.
std::vector<ObjectChange> TakeLaterEpoch(Entry& aEntry, ObjectKind aKind,
                                         const Listing& aListing,
                                         TimePoint aNow)
{
  auto& view = aEntry.mFollows[aKind].mView;
  const auto before = view.mRevision;
  auto changes = TakeRestored(view, aListing.mObjects, aListing.mEpoch,
                              aListing.mRevision, DoubtTimesFor(aKind), aNow);
  if (aKind == ObjectKind::Targets) {
    NoteRegistryTrouble(aEntry.mRegistry, aNow);
  }
  if (aKind == ObjectKind::Entries) {
    FindOwnRecord(aEntry, aListing);
  }
  Log(LogLevel::Warning, "store_restored",
      { { "kind", KindName(aKind) },
        { "epoch", std::to_string(aListing.mEpoch) },
        { "revision", std::to_string(aListing.mRevision) },
        { "before", std::to_string(before) },
        { "changes", std::to_string(changes.size()) },
        { "doubted", std::to_string(view.mDoubts.size()) } });
  return changes;
}

/// Lists all objects of a kind.
/// @returns true where the view is whole
asio::awaitable<bool> ListAll(Entry& aEntry, ObjectKind aKind)
{
  const auto called = Clock::now();
  const auto listing = co_await ListPages(aEntry, aKind);
  auto& view = aEntry.mFollows[aKind].mView;
  if (!listing || (view.mListed && listing->mEpoch < view.mEpoch)) {
    co_return false;
  }
  const auto now = Clock::now();
  const bool first = !view.mListed;
  const bool restored = !first && listing->mEpoch > view.mEpoch;
  const bool dropped =
    !first && !restored && listing->mRevision < view.mRevision;
  const auto from = restored ? listing->mRevision : view.mRevision;
  const auto changes =
    restored ? TakeLaterEpoch(aEntry, aKind, *listing, now)
             : TakeListing(view, listing->mObjects, listing->mRevision);
  view.mEpoch = listing->mEpoch;
  if (!dropped) {
    Confirm(view, called);
  }
  aEntry.mFollows[aKind].mBehind = false;
  ApplyChanges(aEntry, aKind, changes, now);
  if (!first) {
    PushChanges(aEntry, aKind, from, changes);
  }
  Log(LogLevel::Info, "view_listed",
      { { "kind", KindName(aKind) },
        { "objects", std::to_string(listing->mObjects.size()) },
        { "changes", std::to_string(changes.size()) },
        { "dropped", dropped ? "yes" : "no" },
        { "epoch", std::to_string(listing->mEpoch) },
        { "revision", std::to_string(listing->mRevision) } });
  co_return true;
}

/// Watches once from where the view stands.
/// @returns false where the view must be listed anew
asio::awaitable<bool> WatchOnce(Entry& aEntry, ObjectKind aKind, Millis aWait)
{
  auto& view = aEntry.mFollows[aKind].mView;
  const auto called = Clock::now();
  auto reply = co_await aEntry.mPlatform.mWatch(aKind, view.mRevision, aWait);
  const auto now = Clock::now();
  NoteReply(aEntry, aKind, "watch", reply, now);
  if (reply.mEpoch && *reply.mEpoch != view.mEpoch) {
    // The answer goes on from a revision of another history.
    co_return false;
  }
  if (reply.mStatus == StoreStatus::Ok) {
    const auto from = view.mRevision;
    const auto changes = TakeChanges(view, reply.mChanges, reply.mRevision);
    aEntry.mFollows[aKind].mBehind = false;
    Confirm(view, std::max(called, now - kAnswerTransit));
    ApplyChanges(aEntry, aKind, changes, now);
    PushChanges(aEntry, aKind, from, changes);
  }
  co_return !reply.mHistoryGone;
}

/// True where the store was restored since the view was listed.
bool IsOutdated(Entry& aEntry, ObjectKind aKind)
{
  const auto& view = aEntry.mFollows[aKind].mView;
  return view.mListed && view.mEpoch < aEntry.mStoreEpoch;
}

bool MayListen(Entry& aEntry, ObjectKind aKind, TimePoint aNow)
{
  const auto& state = aEntry.mFollows[aKind];
  const bool watches =
    IsWatcher(aEntry.mSettings.mName, LiveInRegion(aEntry.mRoster, aNow));
  return state.mView.mListed && !state.mBehind && !IsOutdated(aEntry, aKind) &&
         HearsEnough(state.mAccess, TimesFor(aEntry, aKind),
                     state.mView.mConfirmed, watches, aNow);
}

/// Waits after a failed call; in an outage no longer than until any call works
/// again.
asio::awaitable<void> AwaitReturn(Entry& aEntry, ObjectKind aKind)
{
  const auto& access = aEntry.mFollows[aKind].mAccess;
  const auto& all = aEntry.mStoreAccess;
  const auto started = Clock::now();
  const bool probes =
    aKind == ObjectKind::Targets &&
    IsProber(aEntry.mSettings.mName, LiveInRegion(aEntry.mRoster, started));
  const auto pause = PauseAfterFailure(access, all, probes, started);
  co_await Pause(aEntry, access.mBackoff);
  while (!all.mConnected && Clock::now() - started < pause) {
    co_await Pause(aEntry, kAgeCheck);
  }
}

} // namespace

RegistryChange TakeTargetRegistration(Entry& aEntry,
                                      const Registration& aRegistration,
                                      TimePoint aNow)
{
  NoteNewLife(aEntry, aRegistration, aNow);
  const auto change = TakeRegistration(aEntry.mRegistry, aRegistration, aNow);
  SetColdTurn(aEntry, aRegistration.mId, aNow);
  return change;
}

RegistryChange TakeTargetRemoval(Entry& aEntry, const std::string& aTarget,
                                 TimePoint aNow)
{
  return TakeRemoval(aEntry.mRegistry, aTarget, aNow);
}

const char* KindName(ObjectKind aKind) noexcept
{
  switch (aKind) {
    case ObjectKind::Routing:
      return "routing";
    case ObjectKind::Targets:
      return "targets";
    case ObjectKind::Evacuations:
      return "evacuations";
    case ObjectKind::Entries:
      return "entries";
  }
  return "unknown";
}

void ApplyChanges(Entry& aEntry, ObjectKind aKind,
                  const std::vector<ObjectChange>& aChanges, TimePoint aNow)
{
  for (const auto& it : aChanges) {
    TakeChange(aEntry, aKind, it, aNow);
  }
}

void NoteEpoch(Entry& aEntry, std::uint64_t aEpoch, const char* aSource)
{
  if (aEpoch <= aEntry.mStoreEpoch) {
    return;
  }
  Log(LogLevel::Warning, "store_epoch",
      { { "epoch", std::to_string(aEpoch) },
        { "before", std::to_string(aEntry.mStoreEpoch) },
        { "source", aSource } });
  aEntry.mStoreEpoch = aEpoch;
}

void SettleViews(Entry& aEntry, TimePoint aNow)
{
  for (auto& [kind, state] : aEntry.mFollows) {
    const auto changes = SettleDoubts(state.mView, aNow);
    if (changes.empty()) {
      continue;
    }
    Log(LogLevel::Info, "doubts_settled",
        { { "kind", KindName(kind) },
          { "changes", std::to_string(changes.size()) } });
    // A record that nobody wrote again says nothing of a living entry.
    ApplyChanges(aEntry, kind, changes,
                 kind == ObjectKind::Entries ? aNow - kEntrySilence : aNow);
  }
}

asio::awaitable<void> FollowObjects(Entry& aEntry, ObjectKind aKind)
{
  auto& access = aEntry.mFollows[aKind].mAccess;
  bool listed = false;
  while (true) {
    if (MayListen(aEntry, aKind, Clock::now())) {
      co_await Pause(aEntry, kAgeCheck);
      continue;
    }
    if (!listed || IsOutdated(aEntry, aKind)) {
      listed = co_await ListAll(aEntry, aKind);
    } else {
      listed = co_await WatchOnce(aEntry, aKind,
                                  WatchWait(access, TimesFor(aEntry, aKind)));
    }
    if (access.mConnected) {
      co_await Pause(aEntry, listed ? kGatherTime : Millis(1));
    } else {
      co_await AwaitReturn(aEntry, aKind);
    }
  }
}

} // namespace guavaline::detail
