#pragma once

/// Requests that crash the targets that run them.

#include <guavaline/core/time.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavaline {

/// Crashes counted by the digest of method, path and body.
struct CrasherTable
{
  struct Record
  {
    std::uint32_t mCrashes = 0;
    TimePoint mLastCrash{};
    TimePoint mForget;
  };

  Millis mMemory{ 600'000 };
  std::size_t mMaxRecords = 10'000;
  std::unordered_map<std::uint64_t, Record> mRecords;
};

/// Notes that a target's connection broke while it ran a request. Runs that
/// were under way at an earlier crash count as one with it, so that a region
/// that fails does not make all its requests suspect.
/// @param aStarted  when the run began
void NoteCrash(CrasherTable& aTable, std::uint64_t aDigest, TimePoint aStarted,
               TimePoint aNow);

/// Notes a whole answer, which clears the request.
/// @returns true where crashes had been counted
bool NoteServed(CrasherTable& aTable, std::uint64_t aDigest);

/// Notes that a peer refuses a request.
void NoteRefusedByPeer(CrasherTable& aTable, std::uint64_t aDigest,
                       TimePoint aNow);

/// @returns true where a request crashed targets twice
[[nodiscard]] bool IsCrasher(const CrasherTable& aTable, std::uint64_t aDigest,
                             TimePoint aNow) noexcept;

/// Lists what is refused, for peers; at most aMost.
[[nodiscard]] std::vector<std::uint64_t> ListCrashers(
  const CrasherTable& aTable, TimePoint aNow, std::size_t aMost);

/// Drops records past their time.
void ForgetOldCrashes(CrasherTable& aTable, TimePoint aNow);

} // namespace guavaline
