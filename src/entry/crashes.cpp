#include "entry/crashes.hpp"

#include "entry/messages.hpp"
#include "http/probe.hpp"

#include <guavaline/core/hash.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxNews = 64;

/// Counts the crashes that the end of a target's life shows.
void CountCrashes(Entry& aEntry, LiveTarget& aTarget,
                  const std::vector<Crash>& aCrashes, EndSign aSign,
                  TimePoint aNow)
{
  for (const auto& it : aCrashes) {
    if (!NoteCrash(aEntry.mCrashTable, it, aNow)) {
      continue;
    }
    aEntry.mUntoldCrashes.mCrashes.push_back(it);
    LogBounded(
      LogClass::Failure, LogLevel::Warning, "target_crashed",
      { { "target", aTarget.mRegistration.mId },
        { "digest", HexId(it.mDigest) },
        { "sign", NameOf(aSign) },
        { "uncertain", it.mUncertain ? "yes" : "no" },
        { "refused_from_now",
          CrashesTargets(aEntry.mCrashTable, it.mDigest, aNow) ? "yes"
                                                               : "no" } });
  }
  if (!aCrashes.empty()) {
    aEntry.mMetrics.Count("target_crashes",
                          "service=\"" + aTarget.mRegistration.mService + "\"");
  }
}

/// @returns true where a request that ran at a target is known to have crashed
///          another one, or may have
bool SharesSuspects(const Entry& aEntry, const LiveTarget& aTarget,
                    const LiveTarget& aOther)
{
  const auto suspects = SuspectDigests(aTarget.mRuns);
  return ShareSuspects(aTarget.mRuns, aOther.mRuns) ||
         std::any_of(suspects.begin(), suspects.end(), [&](std::uint64_t a) {
           return CrashedUnder(aEntry.mCrashTable, a, aOther.mLife);
         });
}

/// @returns others of a target's failure domain, those heard last first, which
///          none of its requests may have crashed
std::vector<TargetPtr> SiblingsOf(const Entry& aEntry,
                                  const LiveTarget& aTarget)
{
  std::vector<TargetPtr> out;
  for (const auto& [id, target] : aEntry.mRegistry.mTargets) {
    if (target.get() != &aTarget && !target->mLeft &&
        target->mRegistration.mFailureDomain ==
          aTarget.mRegistration.mFailureDomain &&
        !SharesSuspects(aEntry, aTarget, *target)) {
      out.push_back(target);
    }
  }
  std::sort(out.begin(), out.end(), [](const TargetPtr& a, const TargetPtr& b) {
    return a->mRuns.mHeard > b->mRuns.mHeard;
  });
  out.resize(std::min(out.size(), kMaxSiblings));
  return out;
}

/// Finds out whether others of a target's failure domain serve.
/// @param aSince  when the target began to be asked
asio::awaitable<DomainState> FindDomainState(Entry& aEntry, TargetPtr aTarget,
                                             TimePoint aSince)
{
  const auto siblings = SiblingsOf(aEntry, *aTarget);
  if (siblings.empty()) {
    co_return DomainState::Unknown;
  }
  if (siblings.front()->mRuns.mHeard > aSince) {
    co_return DomainState::Serves;
  }
  std::vector<Endpoint> peers;
  for (const auto& it : siblings) {
    peers.push_back(*ParseEndpoint(it->mRegistration.mAddress));
  }
  const bool serves =
    co_await AnyListens(aEntry.mTargetClient, std::move(peers));
  co_return serves ? DomainState::Serves : DomainState::Failed;
}

/// Asks a silent target once more when others of its failure domain have
/// answered: where it listens by now, all of the domain may have been silent
/// until then. If it is another life, its registration shows that.
asio::awaitable<bool> IsBack(Entry& aEntry, const LiveTarget& aTarget)
{
  const auto state = co_await ProbeListener(
    aEntry.mTargetClient, *ParseEndpoint(aTarget.mRegistration.mAddress));
  co_return state == ListenState::Listens;
}

/// Judges a target that takes no connections.
/// @param aSince  when it began to be asked
asio::awaitable<void> JudgeEnded(Entry& aEntry, TargetPtr aTarget,
                                 EndSign aSign, TimePoint aSince)
{
  if (HasSaidLeaving(aEntry.mRegistry, *aTarget) ||
      !HasSuspects(aTarget->mRuns)) {
    co_return;
  }
  const auto domain = co_await FindDomainState(aEntry, aTarget, aSince);
  if (aSign == EndSign::Silent && domain != DomainState::Failed &&
      co_await IsBack(aEntry, *aTarget)) {
    co_return;
  }
  const auto now = Clock::now();
  if (aSign == EndSign::Silent && aTarget->mRuns.mHeard > aSince) {
    co_return;
  }
  auto crashes =
    TakeCrashes(aTarget->mRuns, aTarget->mLife, aSign, aSince, now);
  if (domain == DomainState::Failed) {
    LogBounded(LogClass::Failure, LogLevel::Warning, "failure_domain_silent",
               { { "target", aTarget->mRegistration.mId },
                 { "failure_domain", aTarget->mRegistration.mFailureDomain },
                 { "sign", NameOf(aSign) } });
    co_return;
  }
  if (domain == DomainState::Unknown) {
    MakeUncertain(crashes);
  }
  CountCrashes(aEntry, *aTarget, crashes, aSign, now);
}

/// Asks a target that gave no answer whether it still listens.
asio::awaitable<void> ProbeTarget(Entry& aEntry, TargetPtr aTarget)
{
  const auto endpoint = *ParseEndpoint(aTarget->mRegistration.mAddress);
  const auto started = Clock::now();
  const auto state = co_await ProbeListener(aEntry.mTargetClient, endpoint);
  LogBounded(
    LogClass::Failure, LogLevel::Info, "target_probed",
    { { "target", aTarget->mRegistration.mId },
      { "outcome", NameOf(state) },
      { "broken_runs", std::to_string(aTarget->mRuns.mBroken.size()) } });
  aEntry.mMetrics.Count("target_probes",
                        std::string("outcome=\"") + NameOf(state) + "\"");
  // One that is full refuses new connections and keeps those that it has.
  const bool full =
    state == ListenState::Refuses && aEntry.mTargetClient.HasOpen(endpoint);
  if (state != ListenState::Listens && !full) {
    const auto sign = state == ListenState::Silent
                        ? EndSign::Silent
                        : EndSign::RefusesConnections;
    co_await JudgeEnded(aEntry, aTarget, sign, started);
  }
  aTarget->mRuns.mProbed = false;
}

void StartProbe(Entry& aEntry, const TargetPtr& aTarget)
{
  if (!aTarget->mRuns.mProbed) {
    aTarget->mRuns.mProbed = true;
    asio::co_spawn(aEntry.mContext, ProbeTarget(aEntry, aTarget),
                   asio::detached);
  }
}

/// @returns true where a life has registered before
bool IsKnown(const TargetRegistry& aRegistry, const Registration& aNew)
{
  const auto it = aRegistry.mTargets.find(aNew.mId);
  return it != aRegistry.mTargets.end() &&
         it->second->mRegistration.mStarted == aNew.mStarted &&
         it->second->mRegistration.mAddress == aNew.mAddress;
}

/// @returns true where a registration shows that a target's life has ended
bool Ends(const Registration& aNew, const Registration& aOld)
{
  const bool sameId = aOld.mId == aNew.mId;
  const bool other = !sameId || aOld.mStarted != aNew.mStarted;
  return other && (sameId || aOld.mAddress == aNew.mAddress);
}

} // namespace

void NoteBrokenRun(Entry& aEntry, const TargetPtr& aTarget,
                   const BrokenRun& aRun, TimePoint aNow)
{
  if (aTarget->mLeft) {
    // It may end with runs still under way.
    return;
  }
  ForgetBroken(aTarget->mRuns, aNow);
  NoteBroken(aTarget->mRuns, aRun);
  auto& suspects = aEntry.mBrokenTargets;
  if (std::find(suspects.begin(), suspects.end(), aTarget) == suspects.end()) {
    suspects.push_back(aTarget);
  }
  StartProbe(aEntry, aTarget);
}

void NoteFailedConnection(Entry& aEntry, const TargetPtr& aTarget)
{
  if (!aTarget->mLeft && HasSuspects(aTarget->mRuns)) {
    StartProbe(aEntry, aTarget);
  }
}

void NoteNewLife(Entry& aEntry, const Registration& aRegistration,
                 TimePoint aNow)
{
  auto targets = aEntry.mBrokenTargets;
  if (!IsKnown(aEntry.mRegistry, aRegistration)) {
    for (const auto& [id, target] : aEntry.mRegistry.mTargets) {
      if (HasSuspects(target->mRuns)) {
        targets.push_back(target);
      }
    }
  }
  for (const auto& it : targets) {
    if (Ends(aRegistration, it->mRegistration) &&
        !HasSaidLeaving(aEntry.mRegistry, *it)) {
      const auto crashes =
        TakeCrashes(it->mRuns, it->mLife, EndSign::AnotherLife, aNow, aNow);
      CountCrashes(aEntry, *it, crashes, EndSign::AnotherLife, aNow);
    }
  }
}

bool NoteGoodRun(Entry& aEntry, std::uint64_t aDigest, TimePoint aNow)
{
  const ServedRun run{ aDigest, aNow };
  const bool suspect = NoteServed(aEntry.mCrashTable, run);
  if (suspect) {
    aEntry.mUntoldCrashes.mServed.push_back(run);
  }
  return suspect;
}

void ForgetBrokenRuns(Entry& aEntry, TimePoint aNow)
{
  std::erase_if(aEntry.mBrokenTargets, [aNow](const TargetPtr& a) {
    ForgetBroken(a->mRuns, aNow);
    return a->mRuns.mBroken.empty();
  });
}

void TellCrashes(Entry& aEntry)
{
  auto& untold = aEntry.mUntoldCrashes;
  if (untold.mCrashes.empty() && untold.mServed.empty()) {
    return;
  }
  CrashEvidence news;
  const auto move = [](auto& aFrom, auto& aTo) {
    const auto n =
      static_cast<std::ptrdiff_t>(std::min(aFrom.size(), kMaxNews));
    aTo.assign(aFrom.begin(), aFrom.begin() + n);
    aFrom.erase(aFrom.begin(), aFrom.begin() + n);
  };
  move(untold.mCrashes, news.mCrashes);
  move(untold.mServed, news.mServed);
  PushCrashNews(aEntry, news, true);
}

} // namespace guavaline::detail
