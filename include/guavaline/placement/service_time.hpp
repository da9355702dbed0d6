#pragma once

/// How long requests take: warm and cold runs by route, and the way to each
/// failure domain. A target that has lately handled an object serves it
/// several times faster than one that has not.

#include <guavaline/core/time.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavaline {

/// How much an entry knows about an object at a target.
enum class Warmth {
  Known = 1, ///< It was lately served there.
  Likely,    ///< The target is the first owner; other entries send it there.
  Unlikely,  ///< Neither.
};

inline constexpr std::size_t kWarmthKinds = 3;

/// Average run times of one route, by warmth.
struct RunTimes
{
  double mMs[kWarmthKinds + 1] = {};
};

/// @returns the expected time of a run without waiting
[[nodiscard]] Millis ExpectedRun(const RunTimes& aTimes, Warmth aWarmth);

/// Takes in a run that did not wait.
void NoteRun(RunTimes& aTimes, Warmth aWarmth, Millis aTook);

/// Objects that targets lately served, by own requests and by the word of
/// other entries.
struct WarmTable
{
  std::unordered_map<std::uint64_t, TimePoint> mServed; ///< By WarmId.
  std::vector<std::uint64_t> mUntold; ///< Of own requests, for other entries.
  std::size_t mMost = 20'000;
  std::size_t mMaxUntold = 500;
};

/// @returns the number of an object at one life of a target
[[nodiscard]] std::uint64_t WarmId(std::uint64_t aKey,
                                   std::uint64_t aLife) noexcept;

/// Notes that a target served an object for this entry. Other entries are to
/// be told, unless one of them was heard to have had it served lately.
void NoteServed(WarmTable& aTable, std::uint64_t aWarmId, TimePoint aNow);

/// Takes in what another entry had served.
void HearServed(WarmTable& aTable, const std::vector<std::uint64_t>& aWarmIds,
                TimePoint aNow);

/// @returns what to tell other entries, which then counts as told
[[nodiscard]] std::vector<std::uint64_t> TakeUntold(WarmTable& aTable);

/// @returns true where a target lately served an object
[[nodiscard]] bool IsWarm(const WarmTable& aTable, std::uint64_t aWarmId,
                          TimePoint aNow);

/// Round-trip times to failure domains, from opened connections.
struct RoundTrips
{
  std::string mOwnDomain;
  std::string mOwnRegion;
  std::map<std::string, double> mMs; ///< By failure domain.
};

/// Takes in the time that it took to open a connection.
void NoteConnect(RoundTrips& aTrips, const std::string& aDomain,
                 std::chrono::microseconds aTook);

/// @returns the expected round trip to a failure domain
[[nodiscard]] Millis RoundTripTo(const RoundTrips& aTrips,
                                 const std::string& aDomain,
                                 const std::string& aRegion);

} // namespace guavaline
