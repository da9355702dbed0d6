#pragma once

/// How long requests take: warm and cold runs by route, and the way to each
/// failure domain. A target that has lately handled an object serves it
/// several times faster than one that has not.

#include <guavaline/core/time.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace guavaline {

/// How much an entry knows about an object at a target.
enum class Warmth {
  Known = 1, ///< This entry lately had it served there.
  Likely,    ///< The target is the first owner; other entries send it there.
  Unlikely,  ///< Neither.
};

inline constexpr std::size_t kWarmthKinds = 3;

/// Average run times of one route, by warmth.
struct RunTimes
{
  double mMs[kWarmthKinds + 1] = {};
};

/// Run times of all routes, by name.
using RunTimeTable = std::unordered_map<std::string, RunTimes>;

/// @returns the expected time of a run without waiting
[[nodiscard]] Millis ExpectedRun(const RunTimes& aTimes, Warmth aWarmth);

/// Takes in a run that did not wait.
void NoteRun(RunTimes& aTimes, Warmth aWarmth, Millis aTook);

/// Objects that this entry had served at targets, and when.
struct WarmTable
{
  std::unordered_map<std::uint64_t, TimePoint> mServed; ///< By both hashes.
  std::size_t mMost = 20'000;
};

/// Notes that a target served an object.
void NoteServed(WarmTable& aTable, std::uint64_t aKey, std::uint64_t aTarget,
                TimePoint aNow);

/// @returns true where a target lately served an object for this entry
[[nodiscard]] bool IsWarm(const WarmTable& aTable, std::uint64_t aKey,
                          std::uint64_t aTarget, TimePoint aNow);

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
