#include <guavaline/placement/service_time.hpp>

#include <guavaline/core/hash.hpp>

#include <algorithm>
#include <utility>

namespace guavaline {
namespace {

constexpr double kNewWeight = 0.1;
/// Run times before anything was measured. A cold run is taken as longer,
/// so that the first requests for an object meet at its owner.
constexpr Millis kFirstRun[kWarmthKinds + 1] = { Millis(0), Millis(150),
                                                 Millis(200), Millis(500) };
/// How long a target is taken to keep an object warm without requests.
constexpr Millis kKeepsWarm{ 15'000 };
/// An entry repeats its word on an object after this time, half of the time
/// for which others rely on it.
constexpr Millis kTellAgain{ 7'000 };
/// Round trips before a connection was measured.
constexpr Millis kInDomain{ 1 };
constexpr Millis kInRegion{ 8 };
constexpr Millis kOtherRegion{ 80 };
constexpr double kMicrosPerMs = 1'000;

} // namespace

Millis ExpectedRun(const RunTimes& aTimes, Warmth aWarmth)
{
  const auto n = static_cast<std::size_t>(aWarmth);
  const auto ms = aTimes.mMs[n];
  return ms > 0 ? Millis(static_cast<std::int64_t>(ms)) : kFirstRun[n];
}

void NoteRun(RunTimes& aTimes, Warmth aWarmth, Millis aTook)
{
  auto& ms = aTimes.mMs[static_cast<std::size_t>(aWarmth)];
  const auto took = std::max(1.0, static_cast<double>(aTook.count()));
  ms = ms > 0 ? ms + kNewWeight * (took - ms) : took;
}

std::uint64_t WarmId(std::uint64_t aKey, std::uint64_t aLife) noexcept
{
  // One bit less, so that it fits a JSON integer.
  return HashPair(aKey, aLife) >> 1U;
}

namespace {

void Remember(WarmTable& aTable, std::uint64_t aWarmId, TimePoint aNow)
{
  if (aTable.mServed.size() >= aTable.mMost) {
    std::erase_if(aTable.mServed, [aNow](const auto& a) {
      return aNow - a.second > kKeepsWarm;
    });
  }
  const auto it = aTable.mServed.find(aWarmId);
  if (it != aTable.mServed.end()) {
    it->second = aNow;
  } else if (aTable.mServed.size() < aTable.mMost) {
    aTable.mServed.emplace(aWarmId, aNow);
  }
}

} // namespace

void NoteServed(WarmTable& aTable, std::uint64_t aWarmId, TimePoint aNow)
{
  const auto it = aTable.mServed.find(aWarmId);
  const bool told =
    it != aTable.mServed.end() && aNow - it->second < kTellAgain;
  if (!told && aTable.mUntold.size() < aTable.mMaxUntold) {
    aTable.mUntold.push_back(aWarmId);
  }
  if (!told) {
    Remember(aTable, aWarmId, aNow);
  }
}

void HearServed(WarmTable& aTable, const std::vector<std::uint64_t>& aWarmIds,
                TimePoint aNow)
{
  for (const auto it : aWarmIds) {
    Remember(aTable, it, aNow);
  }
}

std::vector<std::uint64_t> TakeUntold(WarmTable& aTable)
{
  return std::exchange(aTable.mUntold, {});
}

bool IsWarm(const WarmTable& aTable, std::uint64_t aWarmId, TimePoint aNow)
{
  const auto it = aTable.mServed.find(aWarmId);
  return it != aTable.mServed.end() && aNow - it->second <= kKeepsWarm;
}

void NoteConnect(RoundTrips& aTrips, const std::string& aDomain,
                 std::chrono::microseconds aTook)
{
  auto& ms = aTrips.mMs[aDomain];
  const auto took = static_cast<double>(aTook.count()) / kMicrosPerMs;
  ms = ms > 0 ? ms + kNewWeight * (took - ms) : took;
}

Millis RoundTripTo(const RoundTrips& aTrips, const std::string& aDomain,
                   const std::string& aRegion)
{
  const auto it = aTrips.mMs.find(aDomain);
  if (it != aTrips.mMs.end()) {
    return Millis(static_cast<std::int64_t>(it->second));
  }
  if (aDomain == aTrips.mOwnDomain) {
    return kInDomain;
  }
  return aRegion == aTrips.mOwnRegion ? kInRegion : kOtherRegion;
}

} // namespace guavaline
