#include <guavaline/targets/health.hpp>

#include <algorithm>
#include <cmath>

namespace guavaline {
namespace {

constexpr double kNewWeight = 0.2;
constexpr std::uint32_t kFailuresToEject = 3;
constexpr Millis kFirstEjection{ 1'000 };
constexpr std::uint32_t kMaxDoublings = 5;
constexpr double kHalfLifeSeconds = 10;

double ExpectedLatency(const TargetHealth& aHealth, TimePoint aNow) noexcept
{
  const std::chrono::duration<double> age = aNow - aHealth.mMeasured;
  // Old measurements fade, so that a slow target is tried again.
  return aHealth.mLatencyMs * std::exp2(-age.count() / kHalfLifeSeconds);
}

/// Latency over this many times the region's median is slow.
constexpr double kSlowFactor = 3;
/// Slow targets are left out up to this part of a region, as a divisor.
constexpr std::size_t kMaxSlowDivisor = 4;

/// Leaves out the slowest targets where they are far slower than the rest.
/// Their measurements fade, so that each is tried again from time to time.
std::vector<std::uint32_t> WithoutSlow(std::vector<std::uint32_t> aTargets,
                                       const std::vector<TargetHealth>& aHealth,
                                       TimePoint aNow)
{
  const auto most = aTargets.size() / kMaxSlowDivisor;
  if (most == 0) {
    return aTargets;
  }
  std::vector<double> latencies;
  for (const auto it : aTargets) {
    if (aHealth[it].mLatencyMs > 0) {
      latencies.push_back(ExpectedLatency(aHealth[it], aNow));
    }
  }
  if (latencies.size() <= most) {
    return aTargets;
  }
  std::sort(latencies.begin(), latencies.end());
  const auto median = latencies[latencies.size() / 2];
  const auto bound =
    std::max(median * kSlowFactor, latencies[latencies.size() - most - 1]);
  std::erase_if(aTargets, [&](std::uint32_t a) {
    return ExpectedLatency(aHealth[a], aNow) > bound;
  });
  return aTargets;
}

bool CanServe(const TargetHealth& aHealth) noexcept
{
  return aHealth.mReachable && !aHealth.mLeaving && !aHealth.mSaidLeaving &&
         !aHealth.mDrained;
}

} // namespace

void NoteSuccess(TargetHealth& aHealth, Millis aLatency,
                 TimePoint aNow) noexcept
{
  const auto ms = static_cast<double>(aLatency.count());
  aHealth.mLatencyMs =
    aHealth.mLatencyMs == 0
      ? ms
      : aHealth.mLatencyMs + kNewWeight * (ms - aHealth.mLatencyMs);
  aHealth.mFailures = 0;
  aHealth.mEjections = 0;
  aHealth.mReachable = true;
  aHealth.mMeasured = aNow;
}

void NoteFailure(TargetHealth& aHealth, TimePoint aNow) noexcept
{
  ++aHealth.mFailures;
  aHealth.mMeasured = aNow;
  if (aHealth.mFailures < kFailuresToEject) {
    return;
  }
  const auto doublings = std::min(aHealth.mEjections, kMaxDoublings);
  aHealth.mEjectedUntil = aNow + kFirstEjection * (1U << doublings);
  ++aHealth.mEjections;
  aHealth.mFailures = 0;
}

void NoteSaidLeaving(TargetHealth& aHealth) noexcept
{
  aHealth.mSaidLeaving = true;
}

void NoteProbe(TargetHealth& aHealth, bool aReachable, bool aLeaving) noexcept
{
  if (!aReachable) {
    aHealth.mSaidLeaving = false;
  }
  aHealth.mReachable = aReachable;
  aHealth.mLeaving = aLeaving;
}

bool IsEligible(const TargetHealth& aHealth, TimePoint aNow) noexcept
{
  return CanServe(aHealth) && aNow >= aHealth.mEjectedUntil;
}

std::vector<std::uint32_t> EligibleTargets(
  const Service& aService, const std::string& aRegion,
  const std::vector<TargetHealth>& aHealth, TimePoint aNow)
{
  std::vector<std::uint32_t> serving;
  std::vector<std::uint32_t> out;
  for (std::uint32_t n = 0; n < aService.mTargets.size(); ++n) {
    if (aService.mTargets[n].mRegion != aRegion || !CanServe(aHealth[n])) {
      continue;
    }
    serving.push_back(n);
    if (IsEligible(aHealth[n], aNow)) {
      out.push_back(n);
    }
  }
  return out.size() * 2 < serving.size() ? serving : out;
}

std::vector<std::uint32_t> AvoidedTargets(
  const Service& aService, const std::string& aRegion,
  const std::vector<TargetHealth>& aHealth, TimePoint aNow)
{
  const auto used = WithoutSlow(
    EligibleTargets(aService, aRegion, aHealth, aNow), aHealth, aNow);
  std::vector<std::uint32_t> out;
  for (std::uint32_t n = 0; n < aService.mTargets.size(); ++n) {
    if (aService.mTargets[n].mRegion == aRegion &&
        std::find(used.begin(), used.end(), n) == used.end()) {
      out.push_back(n);
    }
  }
  return out;
}

std::optional<std::uint32_t> ChooseTarget(
  const TargetQuery& aQuery, const SlotTable& aSlots,
  const std::vector<TargetHealth>& aHealth, const RandomSource& aRandom)
{
  const auto targets = WithoutSlow(
    EligibleTargets(aQuery.mService, aQuery.mRegion, aHealth, aQuery.mNow),
    aHealth, aQuery.mNow);
  if (targets.empty()) {
    return std::nullopt;
  }
  std::optional<std::uint32_t> best;
  double least = 0;
  const auto first = aRandom() % targets.size();
  for (std::size_t n = 0; n < targets.size(); ++n) {
    const auto it = targets[(first + n) % targets.size()];
    const bool excluded =
      std::find(aQuery.mExcluded.begin(), aQuery.mExcluded.end(), it) !=
      aQuery.mExcluded.end();
    if (excluded || FreeSlots(aSlots, it, aQuery.mNow, aQuery.mUntil) == 0) {
      continue;
    }
    const auto latency = ExpectedLatency(aHealth[it], aQuery.mNow);
    if (!best || latency < least) {
      best = it;
      least = latency;
    }
  }
  return best;
}

} // namespace guavaline
