/// Keeps views of the store's objects: a listing, then watches. While the
/// store cannot be reached the last accepted view stays in force.

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
/// Calls between entries need current records: their keys change with each
/// start, and after a start of all of them nobody can be heard without.
constexpr Millis kEntriesBound{ 3'000 };

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
        { "routes", std::to_string(table->mRoutes.size()) } });
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

void TakeTarget(Entry& aEntry, const ObjectChange& aChange, TimePoint aNow)
{
  auto change = RegistryChange::None;
  if (aChange.mRemoved) {
    change = TakeRemoval(aEntry.mRegistry, aChange.mName, aNow);
  } else if (const auto target = aEntry.mPlatform.mReadTarget(aChange)) {
    NoteNewLife(aEntry, *target, aNow);
    change = TakeRegistration(aEntry.mRegistry, *target, aNow);
  } else {
    // Another writer's object, or one that cannot be read: nothing to use.
    change = TakeRemoval(aEntry.mRegistry, aChange.mName, aNow);
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

void TakeEntry(Entry& aEntry, const ObjectChange& aChange, TimePoint aNow)
{
  if (aChange.mRemoved) {
    TakeRecordRemoval(aEntry.mRoster, aChange.mName);
    // Others may have taken this entry for dead while it could not be heard.
    aEntry.mRecordWritten =
      aEntry.mRecordWritten && aChange.mName != aEntry.mSettings.mName;
  } else if (const auto record = aEntry.mPlatform.mReadEntry(aChange)) {
    TakeRecord(aEntry.mRoster, *record, aNow);
  } else {
    Log(LogLevel::Warning, "entry_record_unreadable",
        { { "entry", aChange.mName } });
    return;
  }
  aEntry.mDisturbed = aNow;
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

/// Lists all objects of a kind, page by page.
/// @returns true where the view is whole
asio::awaitable<bool> ListAll(Entry& aEntry, ObjectKind aKind)
{
  std::vector<ObjectChange> all;
  std::string after;
  std::uint64_t revision = 0;
  std::uint64_t epoch = 0;
  while (true) {
    auto reply = co_await aEntry.mPlatform.mList(aKind, after);
    NoteReply(aEntry, aKind, "list", reply, Clock::now());
    if (reply.mStatus != StoreStatus::Ok) {
      co_return false;
    }
    epoch = reply.mEpoch;
    // Changes between pages come again with the watch.
    revision =
      revision == 0 ? reply.mRevision : std::min(revision, reply.mRevision);
    for (auto& it : reply.mChanges) {
      after = it.mName;
      all.push_back(std::move(it));
    }
    if (!reply.mMore || reply.mChanges.empty()) {
      break;
    }
  }
  auto& view = aEntry.mFollows[aKind].mView;
  const auto now = Clock::now();
  const bool first = !view.mListed;
  const auto from = view.mRevision;
  const auto changes = TakeListing(view, all, revision);
  Confirm(view, now);
  aEntry.mFollows[aKind].mBehind = false;
  ApplyChanges(aEntry, aKind, changes, now);
  if (!first) {
    PushChanges(aEntry, aKind, from, changes);
  }
  Log(LogLevel::Info, "view_listed",
      { { "kind", KindName(aKind) },
        { "objects", std::to_string(all.size()) },
        { "changes", std::to_string(changes.size()) },
        { "dropped", !first && revision < from ? "yes" : "no" },
        { "epoch", std::to_string(epoch) },
        { "revision", std::to_string(revision) } });
  co_return true;
}

/// Watches once from where the view stands.
/// @returns false where the view must be listed anew
asio::awaitable<bool> WatchOnce(Entry& aEntry, ObjectKind aKind, Millis aWait)
{
  auto& view = aEntry.mFollows[aKind].mView;
  auto reply = co_await aEntry.mPlatform.mWatch(aKind, view.mRevision, aWait);
  const auto now = Clock::now();
  NoteReply(aEntry, aKind, "watch", reply, now);
  if (reply.mStatus == StoreStatus::Ok) {
    const auto from = view.mRevision;
    const auto changes = TakeChanges(view, reply.mChanges, reply.mRevision);
    aEntry.mFollows[aKind].mBehind = false;
    Confirm(view, now);
    ApplyChanges(aEntry, aKind, changes, now);
    PushChanges(aEntry, aKind, from, changes);
  }
  co_return !reply.mHistoryGone;
}

bool MayListen(Entry& aEntry, ObjectKind aKind, TimePoint aNow)
{
  const auto& state = aEntry.mFollows[aKind];
  const bool watches =
    IsWatcher(aEntry.mSettings.mName, LiveInRegion(aEntry.mRoster, aNow));
  return state.mView.mListed && !state.mBehind &&
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

asio::awaitable<void> FollowObjects(Entry& aEntry, ObjectKind aKind)
{
  auto& access = aEntry.mFollows[aKind].mAccess;
  bool listed = false;
  while (true) {
    if (MayListen(aEntry, aKind, Clock::now())) {
      co_await Pause(aEntry, kAgeCheck);
      continue;
    }
    if (!listed) {
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
