#include <guavaline/crashes/crash_table.hpp>

#include <algorithm>

namespace guavaline {
namespace {

constexpr std::uint32_t kCrashesToRefuse = 2;
/// From so many crashes on a request gets no trial.
constexpr std::uint32_t kCrashesToSettle = 3;
/// A trial comes this long after the last crash, when what failed around the
/// request may be back.
constexpr Millis kTrialAfter{ 5'000 };
/// Crashes kept of one request that is not refused yet.
constexpr std::size_t kMaxCrashes = 8;
/// Word of a crash that comes later than a good run's is still older than it.
constexpr Millis kServedMemory{ 30'000 };
/// Word from other entries makes an event look younger, by the time that it
/// took on its way.
constexpr Millis kNewsDelay{ 2'000 };
/// Crashes this young are told again with heartbeats, since the first word
/// may have been lost.
constexpr Millis kFresh{ 10'000 };

CrashTable::Record* FindOrAdd(CrashTable& aTable, std::uint64_t aDigest)
{
  const auto it = aTable.mRecords.find(aDigest);
  if (it != aTable.mRecords.end()) {
    return &it->second;
  }
  if (aTable.mRecords.size() >= aTable.mMaxRecords) {
    return nullptr;
  }
  return &aTable.mRecords[aDigest];
}

/// @returns crashes none of which came during the run of another
std::uint32_t CountSeparate(const std::vector<Crash>& aCrashes) noexcept
{
  std::uint32_t out = 0;
  TimePoint last{};
  for (const auto& it : aCrashes) {
    if (out == 0 || it.mStarted >= last) {
      ++out;
      last = it.mCrashed;
    }
  }
  return out;
}

bool IsRefused(const CrashTable::Record& aRecord, TimePoint aNow) noexcept
{
  return (aRecord.mSeparate >= kCrashesToRefuse || aRecord.mRefusedByPeer) &&
         aNow < aRecord.mForget;
}

/// @returns true where further crashes would change nothing
bool IsSettled(const CrashTable::Record& aRecord) noexcept
{
  const auto certain =
    std::count_if(aRecord.mCrashes.begin(), aRecord.mCrashes.end(),
                  [](const Crash& a) { return !a.mUncertain; });
  return aRecord.mSeparate >= kCrashesToSettle ||
         (aRecord.mSeparate >= kCrashesToRefuse &&
          certain >= static_cast<std::ptrdiff_t>(kCrashesToRefuse));
}

} // namespace

bool NoteCrash(CrashTable& aTable, const Crash& aCrash, TimePoint aNow)
{
  auto* record = FindOrAdd(aTable, aCrash.mDigest);
  if (record == nullptr) {
    return false;
  }
  auto& crashes = record->mCrashes;
  const bool known =
    std::any_of(crashes.begin(), crashes.end(),
                [&](const Crash& a) { return a.mLife == aCrash.mLife; });
  const bool cleared = record->mServed != TimePoint{} &&
                       aCrash.mCrashed <= record->mServed + kNewsDelay;
  const auto forget = aCrash.mCrashed + aTable.mMemory;
  if (known || cleared || forget <= aNow || IsSettled(*record)) {
    return false;
  }
  if (crashes.size() >= kMaxCrashes) {
    // Only the first one counts so far; the others came during its run.
    crashes.erase(crashes.begin() + 1);
  }
  const auto at = std::upper_bound(
    crashes.begin(), crashes.end(), aCrash,
    [](const Crash& a, const Crash& b) { return a.mCrashed < b.mCrashed; });
  crashes.insert(at, aCrash);
  record->mSeparate = CountSeparate(crashes);
  record->mForget = std::max(record->mForget, forget);
  return true;
}

bool NoteServed(CrashTable& aTable, const ServedRun& aRun)
{
  const auto it = aTable.mRecords.find(aRun.mDigest);
  if (it == aTable.mRecords.end()) {
    return false;
  }
  auto& record = it->second;
  const auto cleared = std::erase_if(
    record.mCrashes, [&](const Crash& a) { return a.mCrashed <= aRun.mEnded; });
  if (cleared == 0 && !record.mRefusedByPeer) {
    return false;
  }
  record.mServed = std::max(record.mServed, aRun.mEnded);
  record.mRefusedByPeer = false;
  record.mTried = false;
  record.mSeparate = CountSeparate(record.mCrashes);
  if (record.mCrashes.empty()) {
    record.mForget = aRun.mEnded + kServedMemory;
  }
  return true;
}

void NoteRefusedByPeer(CrashTable& aTable, std::uint64_t aDigest,
                       TimePoint aNow)
{
  auto* record = FindOrAdd(aTable, aDigest);
  // Heard before: the first word sets when it is forgotten, or peers would
  // remind each other for ever.
  const bool cleared = record != nullptr && record->mServed != TimePoint{};
  if (record != nullptr && !cleared && !IsRefused(*record, aNow)) {
    record->mRefusedByPeer = true;
    record->mForget = aNow + aTable.mMemory;
  }
}

CrashEvidence HearEvidence(CrashTable& aTable, const CrashEvidence& aHeard,
                           TimePoint aNow)
{
  CrashEvidence out;
  for (const auto& it : aHeard.mServed) {
    if (NoteServed(aTable, it)) {
      out.mServed.push_back(it);
    }
  }
  for (const auto& it : aHeard.mCrashes) {
    if (NoteCrash(aTable, it, aNow)) {
      out.mCrashes.push_back(it);
    }
  }
  return out;
}

bool CrashesTargets(const CrashTable& aTable, std::uint64_t aDigest,
                    TimePoint aNow) noexcept
{
  const auto it = aTable.mRecords.find(aDigest);
  return it != aTable.mRecords.end() && IsRefused(it->second, aNow);
}

Millis RefusedFor(const CrashTable& aTable, std::uint64_t aDigest,
                  TimePoint aNow) noexcept
{
  const auto it = aTable.mRecords.find(aDigest);
  return it != aTable.mRecords.end() && IsRefused(it->second, aNow)
           ? std::chrono::duration_cast<Millis>(it->second.mForget - aNow)
           : Millis(0);
}

bool TakeTrial(CrashTable& aTable, std::uint64_t aDigest, TimePoint aNow)
{
  const auto it = aTable.mRecords.find(aDigest);
  if (it == aTable.mRecords.end()) {
    return false;
  }
  auto& record = it->second;
  if (record.mTried || record.mCrashes.empty() || IsSettled(record) ||
      aNow - record.mCrashes.back().mCrashed < kTrialAfter) {
    return false;
  }
  record.mTried = true;
  return true;
}

bool CrashedUnder(const CrashTable& aTable, std::uint64_t aDigest,
                  std::uint64_t aLife) noexcept
{
  const auto it = aTable.mRecords.find(aDigest);
  return it != aTable.mRecords.end() &&
         std::any_of(it->second.mCrashes.begin(), it->second.mCrashes.end(),
                     [aLife](const Crash& a) { return a.mLife == aLife; });
}

std::vector<std::uint64_t> ListRefused(CrashTable& aTable, TimePoint aNow,
                                       std::size_t aMost)
{
  std::vector<std::uint64_t> out;
  auto it = aTable.mRecords.upper_bound(aTable.mLastListed);
  for (std::size_t n = 0; n < aTable.mRecords.size() && out.size() < aMost;
       ++n) {
    if (it == aTable.mRecords.end()) {
      it = aTable.mRecords.begin();
    }
    if (IsRefused(it->second, aNow)) {
      out.push_back(it->first);
    }
    aTable.mLastListed = it->first;
    ++it;
  }
  return out;
}

CrashEvidence EvidenceOf(const CrashTable& aTable,
                         const std::vector<std::uint64_t>& aDigests,
                         TimePoint aNow, std::size_t aMost)
{
  CrashEvidence out;
  std::vector<Crash> latest;
  for (const auto& [digest, record] : aTable.mRecords) {
    if (record.mServed != TimePoint{} && aNow - record.mServed <= kFresh) {
      out.mServed.push_back({ digest, record.mServed });
    }
    const bool asked =
      std::find(aDigests.begin(), aDigests.end(), digest) != aDigests.end();
    for (const auto& it : record.mCrashes) {
      if (asked) {
        out.mCrashes.push_back(it);
      } else if (aNow - it.mCrashed <= kFresh) {
        latest.push_back(it);
      }
    }
  }
  const auto newer = [](const Crash& a, const Crash& b) {
    return a.mCrashed > b.mCrashed;
  };
  std::sort(latest.begin(), latest.end(), newer);
  latest.resize(std::min(latest.size(), aMost));
  out.mCrashes.insert(out.mCrashes.end(), latest.begin(), latest.end());
  out.mServed.resize(std::min(out.mServed.size(), aMost));
  return out;
}

void ForgetOldCrashes(CrashTable& aTable, TimePoint aNow)
{
  std::erase_if(aTable.mRecords,
                [aNow](const auto& a) { return a.second.mForget <= aNow; });
}

} // namespace guavaline
