#include <guavaline/crashes/run_watch.hpp>

#include <algorithm>

namespace guavaline {
namespace {

/// A target that takes no connections this soon after runs broke crashed.
constexpr Millis kCrashSeen{ 3'000 };
/// Another life registers this soon after a crash.
constexpr Millis kRestartSeen{ 10'000 };
constexpr std::size_t kMaxBroken = 16;

Crash CrashOf(const BrokenRun& aRun, std::uint64_t aLife)
{
  const bool uncertain = aRun.mEnd == RunEnd::Unseen;
  return { aRun.mDigest, aLife, aRun.mStarted,
           uncertain ? aRun.mStarted : aRun.mEnded, uncertain };
}

void AddLate(std::vector<BrokenRun>& aRuns, const BrokenRun& aRun)
{
  if (aRuns.size() >= kMaxBroken) {
    aRuns.erase(aRuns.begin());
  }
  aRuns.push_back(aRun);
}

} // namespace

const char* NameOf(EndSign aSign) noexcept
{
  switch (aSign) {
    case EndSign::RefusesConnections:
      return "refuses_connections";
    case EndSign::Silent:
      return "silent";
    case EndSign::AnotherLife:
      break;
  }
  return "another_life";
}

std::uint64_t StartRun(RunWatch& aWatch, std::uint64_t aDigest, TimePoint aNow)
{
  aWatch.mUnderWay[++aWatch.mLastRun] = { aDigest, aNow };
  return aWatch.mLastRun;
}

void EndRun(RunWatch& aWatch, std::uint64_t aRun)
{
  aWatch.mUnderWay.erase(aRun);
}

void NoteBroken(RunWatch& aWatch, const BrokenRun& aRun)
{
  ForgetBroken(aWatch, aRun.mEnded);
  AddLate(aWatch.mBroken, aRun);
}

void NoteAbandoned(RunWatch& aWatch, const BrokenRun& aRun)
{
  ForgetBroken(aWatch, aRun.mEnded);
  AddLate(aWatch.mAbandoned, aRun);
}

void NoteHeard(RunWatch& aWatch, TimePoint aArrived) noexcept
{
  aWatch.mHeard = std::max(aWatch.mHeard, aArrived);
}

void ForgetBroken(RunWatch& aWatch, TimePoint aNow)
{
  const auto isOld = [aNow](const BrokenRun& a) {
    return aNow - a.mEnded >= kRestartSeen;
  };
  std::erase_if(aWatch.mBroken, isOld);
  std::erase_if(aWatch.mAbandoned, isOld);
}

bool HasSuspects(const RunWatch& aWatch) noexcept
{
  return !aWatch.mBroken.empty() || !aWatch.mUnderWay.empty() ||
         !aWatch.mAbandoned.empty();
}

std::vector<std::uint64_t> SuspectDigests(const RunWatch& aWatch)
{
  std::vector<std::uint64_t> out;
  for (const auto& it : aWatch.mBroken) {
    out.push_back(it.mDigest);
  }
  for (const auto& [number, run] : aWatch.mUnderWay) {
    out.push_back(run.mDigest);
  }
  return out;
}

bool ShareSuspects(const RunWatch& aWatch, const RunWatch& aOther)
{
  const auto suspects = SuspectDigests(aWatch);
  return std::any_of(aOther.mBroken.begin(), aOther.mBroken.end(),
                     [&](const BrokenRun& a) {
                       return std::find(suspects.begin(), suspects.end(),
                                        a.mDigest) != suspects.end();
                     });
}

std::vector<Crash> TakeCrashes(RunWatch& aWatch, std::uint64_t aLife,
                               EndSign aSign, TimePoint aSilence,
                               TimePoint aNow)
{
  const auto seen = aSign == EndSign::AnotherLife ? kRestartSeen : kCrashSeen;
  std::vector<Crash> out;
  const auto take = [&](std::vector<BrokenRun>& aRuns) {
    for (const auto& it : aRuns) {
      if (aNow - it.mEnded < seen) {
        out.push_back(CrashOf(it, aLife));
      }
    }
    aRuns.clear();
  };
  take(aWatch.mBroken);
  if (aSign == EndSign::RefusesConnections) {
    // The host lives: it would have closed the connections of other runs.
    return out;
  }
  take(aWatch.mAbandoned);
  for (const auto& [number, run] : aWatch.mUnderWay) {
    if (run.mStarted < aSilence) {
      out.push_back(
        CrashOf({ run.mDigest, run.mStarted, aNow, RunEnd::Unseen }, aLife));
    }
  }
  return out;
}

void MakeUncertain(std::vector<Crash>& aCrashes) noexcept
{
  for (auto& it : aCrashes) {
    it.mUncertain = true;
  }
}

} // namespace guavaline
