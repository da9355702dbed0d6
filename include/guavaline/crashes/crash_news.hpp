#pragma once

/// What entries write to each other of requests that crash targets.

#include <guavaline/crashes/crash_table.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace guavaline {

/// Evidence as messages carry it. Times are ages.
struct CrashNews
{
  std::vector<std::string> mDigests; ///< By HexId, as all ids here.
  std::vector<std::string> mLives;
  std::vector<Millis> mStarted;
  std::vector<Millis> mCrashed;
  std::vector<std::string> mServed; ///< Digests of requests that ran well.
  std::vector<Millis> mServedAges;
  /// Places of crashes that are uncertain; left out where none is.
  std::optional<std::vector<std::uint32_t>> mUncertain;
};

/// The part of a heartbeat that tells of refused requests.
struct RefusalNews
{
  std::vector<std::string> mRefused;  ///< Digests, by HexId.
  std::optional<CrashNews> mEvidence; ///< Left out where empty.
};

/// Writes evidence for a message.
[[nodiscard]] CrashNews PackCrashes(const CrashEvidence& aEvidence,
                                    TimePoint aNow);

/// @returns what a peer tells of crashes; nothing where it is malformed
[[nodiscard]] std::optional<CrashEvidence> UnpackCrashes(const CrashNews& aNews,
                                                         TimePoint aNow);

/// @returns what the next heartbeat tells of refused requests
[[nodiscard]] RefusalNews TellRefusals(CrashTable& aTable, TimePoint aNow);

/// Takes in what a heartbeat tells of refused requests.
void HearRefusals(CrashTable& aTable, const RefusalNews& aNews, TimePoint aNow);

} // namespace guavaline
