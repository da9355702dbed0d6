#include "forwarding/crashes.hpp"

#include "daemon/log.hpp"
#include "http/probe.hpp"

#include <guavaline/core/hash.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

/// One target as it is configured, and what is known of it.
struct KnownTarget
{
  const Target* mTarget = nullptr;
  TargetHealth* mHealth = nullptr;
};

std::vector<KnownTarget> TargetsOf(ServiceState& aState)
{
  std::vector<KnownTarget> out;
  for (std::size_t n = 0; n < aState.mService.mTargets.size(); ++n) {
    out.push_back({ &aState.mService.mTargets[n], &aState.mHealth[n] });
  }
  return out;
}

/// @returns nothing where the configuration has dropped the target
std::optional<KnownTarget> Find(Node& aNode, const TargetName& aName)
{
  const auto state = aNode.mServices.find(aName.mService);
  if (state == aNode.mServices.end()) {
    return std::nullopt;
  }
  for (const auto& it : TargetsOf(state->second)) {
    if (it.mTarget->mName == aName.mTarget) {
      return it;
    }
  }
  return std::nullopt;
}

Endpoint EndpointOf(const KnownTarget& aTarget)
{
  return { aTarget.mTarget->mAddress, aTarget.mTarget->mPort };
}

bool IsLeaving(const KnownTarget& aTarget) noexcept
{
  return aTarget.mHealth->mLeaving || aTarget.mHealth->mSaidLeaving;
}

/// @returns others of a target's failure domain, those heard last first, which
///          none of its requests may have crashed
std::vector<KnownTarget> SiblingsOf(Node& aNode, const KnownTarget& aTarget)
{
  std::vector<KnownTarget> out;
  for (auto& [name, state] : aNode.mServices) {
    for (const auto& it : TargetsOf(state)) {
      if (it.mHealth != aTarget.mHealth &&
          it.mTarget->mFailureDomain == aTarget.mTarget->mFailureDomain &&
          !ShareSuspects(aTarget.mHealth->mRuns, it.mHealth->mRuns)) {
        out.push_back(it);
      }
    }
  }
  std::sort(out.begin(), out.end(),
            [](const KnownTarget& a, const KnownTarget& b) {
              return a.mHealth->mRuns.mHeard > b.mHealth->mRuns.mHeard;
            });
  out.resize(std::min(out.size(), kMaxSiblings));
  return out;
}

/// Finds out whether others of a target's failure domain serve.
/// @param aSince  when the target began to be asked
asio::awaitable<DomainState> FindDomainState(Node& aNode,
                                             const KnownTarget& aTarget,
                                             TimePoint aSince)
{
  const auto siblings = SiblingsOf(aNode, aTarget);
  if (siblings.empty()) {
    co_return DomainState::Unknown;
  }
  if (siblings.front().mHealth->mRuns.mHeard > aSince) {
    co_return DomainState::Serves;
  }
  std::vector<Endpoint> peers;
  for (const auto& it : siblings) {
    peers.push_back(EndpointOf(it));
  }
  const bool serves =
    co_await AnyListens(aNode.mTargetClient, std::move(peers));
  co_return serves ? DomainState::Serves : DomainState::Failed;
}

/// Targets have no lives here that entries could tell apart: each run that
/// broke ends one, and all those whose ends nobody saw end the same.
std::uint64_t LifeOf(const TargetName& aName, const Crash& aCrash)
{
  const auto started =
    aCrash.mUncertain ? 0 : aCrash.mStarted.time_since_epoch().count();
  return HashPair(Hash(aName.mTarget), static_cast<std::uint64_t>(started));
}

void CountCrashes(Node& aNode, const TargetName& aName,
                  const std::vector<Crash>& aCrashes, EndSign aSign,
                  TimePoint aNow)
{
  for (const auto& it : aCrashes) {
    if (!NoteCrash(aNode.mCrashTable, it, aNow)) {
      continue;
    }
    const bool refused = CrashesTargets(aNode.mCrashTable, it.mDigest, aNow);
    LogBounded(LogClass::Failure, LogLevel::Warning, "target_crashed",
               { { "service", aName.mService },
                 { "target", aName.mTarget },
                 { "digest", HexId(it.mDigest) },
                 { "sign", NameOf(aSign) },
                 { "uncertain", it.mUncertain ? "yes" : "no" },
                 { "refused_from_now", refused ? "yes" : "no" } });
  }
  if (!aCrashes.empty()) {
    aNode.mMetrics.Count("target_crashes",
                         "service=\"" + aName.mService + "\"");
  }
}

/// Judges a target that takes no connections.
/// @param aSince  when it began to be asked
asio::awaitable<void> JudgeEnded(Node& aNode, TargetName aName, EndSign aSign,
                                 TimePoint aSince)
{
  const auto asked = Find(aNode, aName);
  if (!asked || IsLeaving(*asked) || !HasSuspects(asked->mHealth->mRuns)) {
    co_return;
  }
  const auto domain = co_await FindDomainState(aNode, *asked, aSince);
  const auto target = Find(aNode, aName);
  if (!target ||
      (aSign == EndSign::Silent && target->mHealth->mRuns.mHeard > aSince)) {
    co_return;
  }
  const auto now = Clock::now();
  auto crashes = TakeCrashes(target->mHealth->mRuns, 0, aSign, aSince, now);
  if (domain == DomainState::Failed) {
    LogBounded(LogClass::Failure, LogLevel::Warning, "failure_domain_silent",
               { { "service", aName.mService },
                 { "target", aName.mTarget },
                 { "failure_domain", target->mTarget->mFailureDomain },
                 { "sign", NameOf(aSign) } });
    co_return;
  }
  for (auto& it : crashes) {
    it.mLife = LifeOf(aName, it);
  }
  if (domain == DomainState::Unknown) {
    MakeUncertain(crashes);
  }
  CountCrashes(aNode, aName, crashes, aSign, now);
}

/// Asks a target that gave no answer whether it still listens.
asio::awaitable<void> ProbeTarget(Node& aNode, TargetName aName,
                                  Endpoint aEndpoint)
{
  const auto started = Clock::now();
  const auto state = co_await ProbeListener(aNode.mTargetClient, aEndpoint);
  LogBounded(LogClass::Failure, LogLevel::Info, "target_probed",
             { { "service", aName.mService },
               { "target", aName.mTarget },
               { "outcome", NameOf(state) } });
  aNode.mMetrics.Count("target_probes",
                       std::string("outcome=\"") + NameOf(state) + "\"");
  // One that is full refuses new connections and keeps those that it has.
  const bool full =
    state == ListenState::Refuses && aNode.mTargetClient.HasOpen(aEndpoint);
  if (state != ListenState::Listens && !full) {
    const auto sign = state == ListenState::Silent
                        ? EndSign::Silent
                        : EndSign::RefusesConnections;
    co_await JudgeEnded(aNode, aName, sign, started);
  }
  if (const auto target = Find(aNode, aName)) {
    target->mHealth->mRuns.mProbed = false;
  }
}

void StartProbe(Node& aNode, const TargetName& aName,
                const KnownTarget& aTarget)
{
  if (!aTarget.mHealth->mRuns.mProbed) {
    aTarget.mHealth->mRuns.mProbed = true;
    asio::co_spawn(aNode.mContext,
                   ProbeTarget(aNode, aName, EndpointOf(aTarget)),
                   asio::detached);
  }
}

} // namespace

RunCount::RunCount(Node& aNode, TargetName aTarget, std::uint64_t aDigest,
                   TimePoint aNow)
  : mNode(aNode)
  , mContext(aNode.mContext)
  , mTarget(std::move(aTarget))
{
  if (const auto target = Find(mNode, mTarget)) {
    mRun = StartRun(target->mHealth->mRuns, aDigest, aNow);
  }
}

RunCount::~RunCount()
{
  // A run that is still suspended when the process ends outlives the node.
  if (mContext.stopped()) {
    return;
  }
  if (const auto target = Find(mNode, mTarget)) {
    EndRun(target->mHealth->mRuns, mRun);
  }
}

void NoteBrokenRun(Node& aNode, const TargetName& aTarget,
                   const BrokenRun& aRun)
{
  const auto target = Find(aNode, aTarget);
  if (!target || IsLeaving(*target)) {
    // It may end with runs still under way.
    return;
  }
  NoteBroken(target->mHealth->mRuns, aRun);
  StartProbe(aNode, aTarget, *target);
}

void NoteFailedConnection(Node& aNode, const TargetName& aTarget)
{
  const auto target = Find(aNode, aTarget);
  if (target && HasSuspects(target->mHealth->mRuns)) {
    StartProbe(aNode, aTarget, *target);
  }
}

bool MayTry(Node& aNode, std::uint64_t aDigest, TimePoint aNow)
{
  return IsFirstFor(aNode.mView, aDigest, aNow) &&
         TakeTrial(aNode.mCrashTable, aDigest, aNow);
}

} // namespace guavaline::detail
