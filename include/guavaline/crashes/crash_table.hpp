#pragma once

/// Requests that crash the targets that run them. Entries tell each other of
/// the crashes that they see, so that all together count one request's.

#include <guavaline/core/time.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace guavaline {

/// A target that crashed while it ran a request.
struct Crash
{
  std::uint64_t mDigest = 0; ///< Of the request.
  std::uint64_t mLife = 0;   ///< Of the target; tells its starts apart.
  TimePoint mStarted{};      ///< When the run began.
  TimePoint mCrashed{};
  /// Nobody saw the run end: the target may have ended before it began.
  bool mUncertain = false;
};

/// A run of a request that ended well.
struct ServedRun
{
  std::uint64_t mDigest = 0; ///< Of the request.
  TimePoint mEnded{};
};

/// What entries tell each other of requests that targets crashed under.
struct CrashEvidence
{
  std::vector<Crash> mCrashes;
  std::vector<ServedRun> mServed; ///< Of requests that had been suspect.
};

/// Crashes by the digest of method, path and body.
struct CrashTable
{
  struct Record
  {
    std::vector<Crash> mCrashes; ///< Since the last run that ended well.
    std::uint32_t mSeparate = 0; ///< Crashes that count.
    bool mRefusedByPeer = false; ///< Told without the crashes.
    bool mTried = false;         ///< This entry has made its trial.
    TimePoint mServed{};         ///< When a run last ended well.
    TimePoint mForget{};
  };

  Millis mMemory{ 600'000 };
  std::size_t mMaxRecords = 10'000;
  std::map<std::uint64_t, Record> mRecords; ///< By digest.
  std::uint64_t mLastListed = 0; ///< Digest up to which records were listed.
};

/// Notes that a target crashed. Runs that were under way at an earlier crash
/// count as one with it, so that a region that fails does not make all its
/// requests suspect; each life of a target counts once.
/// @returns true where that was not known
bool NoteCrash(CrashTable& aTable, const Crash& aCrash, TimePoint aNow);

/// Notes a run that ended well. Crashes before it do not count.
/// @returns true where crashes had been counted
bool NoteServed(CrashTable& aTable, const ServedRun& aRun);

/// Notes that a peer refuses a request, of whose crashes it tells nothing.
void NoteRefusedByPeer(CrashTable& aTable, std::uint64_t aDigest,
                       TimePoint aNow);

/// Takes in what another entry saw.
/// @returns the part that was not known
CrashEvidence HearEvidence(CrashTable& aTable, const CrashEvidence& aHeard,
                           TimePoint aNow);

/// @returns true where a request crashed targets twice
[[nodiscard]] bool CrashesTargets(const CrashTable& aTable,
                                  std::uint64_t aDigest,
                                  TimePoint aNow) noexcept;

/// @returns how much longer a request is refused; 0 where it is not
[[nodiscard]] Millis RefusedFor(const CrashTable& aTable, std::uint64_t aDigest,
                                TimePoint aNow) noexcept;

/// Allows one send of a refused request where all that speaks against it is
/// uncertain. It runs well and clears the request, or crashes a target more.
/// @returns true once, some time after the last crash
bool TakeTrial(CrashTable& aTable, std::uint64_t aDigest, TimePoint aNow);

/// @returns true where a life of a target is known to have crashed under a
///          request
[[nodiscard]] bool CrashedUnder(const CrashTable& aTable, std::uint64_t aDigest,
                                std::uint64_t aLife) noexcept;

/// Lists requests that are refused, for peers; others with each call.
/// @param aMost  at most so many
[[nodiscard]] std::vector<std::uint64_t> ListRefused(CrashTable& aTable,
                                                     TimePoint aNow,
                                                     std::size_t aMost);

/// @returns what is known of some requests, and of the latest crashes
/// @param aDigests  the requests
/// @param aMost     most crashes of other requests
[[nodiscard]] CrashEvidence EvidenceOf(
  const CrashTable& aTable, const std::vector<std::uint64_t>& aDigests,
  TimePoint aNow, std::size_t aMost);

/// Drops records past their time.
void ForgetOldCrashes(CrashTable& aTable, TimePoint aNow);

} // namespace guavaline
