#include "entry/crashes.hpp"

#include "entry/messages.hpp"

#include <guavaline/core/hash.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

/// A target that takes no connections this soon after runs broke crashed.
constexpr Millis kCrashSeen{ 3'000 };
/// Another life registers this soon after a crash.
constexpr Millis kRestartSeen{ 10'000 };
constexpr Millis kProbeTimeout{ 700 };
constexpr std::size_t kMaxBroken = 16;
constexpr std::size_t kMaxNews = 64;

void ForgetOldRuns(LiveTarget& aTarget, Millis aKeep, TimePoint aNow)
{
  std::erase_if(aTarget.mBroken,
                [&](const BrokenRun& a) { return aNow - a.mBroke >= aKeep; });
}

/// Asks a target that broke a run whether it still listens; where it does, the
/// connection is kept for the next request.
asio::awaitable<void> ProbeListener(Entry& aEntry, TargetPtr aTarget)
{
  const auto endpoint = *ParseEndpoint(aTarget->mRegistration.mAddress);
  ExchangeOptions options;
  options.mConnectTimeout = kProbeTimeout;
  options.mDeadline = Clock::now() + kProbeTimeout;
  options.mUnacknowledged = kProbeTimeout;
  const auto result =
    co_await aEntry.mTargetClient.OpenSpare(endpoint, std::move(options));
  aTarget->mProbed = false;
  const char* outcome = !result.mConnectFailed ? "listens"
                        : result.mTimedOut     ? "silent"
                                               : "refused";
  LogBounded(LogClass::Failure, LogLevel::Info, "target_probed",
             { { "target", aTarget->mRegistration.mId },
               { "outcome", outcome },
               { "broken_runs", std::to_string(aTarget->mBroken.size()) } });
  aEntry.mMetrics.Count("target_probes",
                        std::string("outcome=\"") + outcome + "\"");
  if (result.mConnectFailed && !result.mTimedOut) {
    NoteRefusedConnection(aEntry, *aTarget, Clock::now());
  }
}

/// Counts the runs that broke with a target as crashes under them.
/// @param aSign  what showed that it crashed, for the log
void CountCrashes(Entry& aEntry, LiveTarget& aTarget, const char* aSign,
                  TimePoint aNow)
{
  if (aTarget.mBroken.empty()) {
    return;
  }
  for (const auto& it : aTarget.mBroken) {
    const Crash crash{ it.mDigest, aTarget.mLife, it.mStarted, it.mBroke };
    if (!NoteCrash(aEntry.mCrashTable, crash, aNow)) {
      continue;
    }
    aEntry.mUntoldCrashes.mCrashes.push_back(crash);
    LogBounded(
      LogClass::Failure, LogLevel::Warning, "target_crashed",
      { { "target", aTarget.mRegistration.mId },
        { "digest", HexId(it.mDigest) },
        { "sign", aSign },
        { "refused_from_now",
          CrashesTargets(aEntry.mCrashTable, it.mDigest, aNow) ? "yes"
                                                               : "no" } });
  }
  aEntry.mMetrics.Count("target_crashes",
                        "service=\"" + aTarget.mRegistration.mService + "\"");
  aTarget.mBroken.clear();
}

} // namespace

void NoteBrokenRun(Entry& aEntry, const TargetPtr& aTarget,
                   const BrokenRun& aRun, TimePoint aNow)
{
  if (aTarget->mLeft) {
    // It may end with runs still under way.
    return;
  }
  ForgetOldRuns(*aTarget, kRestartSeen, aNow);
  if (aTarget->mBroken.size() >= kMaxBroken) {
    aTarget->mBroken.erase(aTarget->mBroken.begin());
  }
  aTarget->mBroken.push_back(aRun);
  auto& suspects = aEntry.mBrokenTargets;
  if (std::find(suspects.begin(), suspects.end(), aTarget) == suspects.end()) {
    suspects.push_back(aTarget);
  }
  if (!aTarget->mProbed) {
    aTarget->mProbed = true;
    asio::co_spawn(aEntry.mContext, ProbeListener(aEntry, aTarget),
                   asio::detached);
  }
}

void NoteRefusedConnection(Entry& aEntry, LiveTarget& aTarget, TimePoint aNow)
{
  const auto endpoint = *ParseEndpoint(aTarget.mRegistration.mAddress);
  ForgetOldRuns(aTarget, kCrashSeen, aNow);
  // One that is full refuses new connections and keeps those that it has.
  if (!aEntry.mTargetClient.HasOpen(endpoint)) {
    CountCrashes(aEntry, aTarget, "refuses_connections", aNow);
  }
}

void NoteNewLife(Entry& aEntry, const Registration& aRegistration,
                 TimePoint aNow)
{
  for (const auto& it : aEntry.mBrokenTargets) {
    const auto& old = it->mRegistration;
    const bool sameId = old.mId == aRegistration.mId;
    const bool other = !sameId || old.mStarted != aRegistration.mStarted;
    if (other && (sameId || old.mAddress == aRegistration.mAddress)) {
      ForgetOldRuns(*it, kRestartSeen, aNow);
      CountCrashes(aEntry, *it, "another_life", aNow);
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
    ForgetOldRuns(*a, kRestartSeen, aNow);
    return a->mBroken.empty();
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
