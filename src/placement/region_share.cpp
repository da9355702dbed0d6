#include <guavaline/placement/region_share.hpp>

#include <algorithm>

namespace guavaline {
namespace {

/// The platform's rule compares windows of this length.
constexpr double kWindowSeconds = 2;
/// Part of the allowed change that the share itself may make; the rest is for
/// the bucket's depth.
constexpr double kSlewPart = 0.6;
constexpr double kPreferenceWeight = 0.1;
/// Requests by which the use of the share may be ahead or behind: a part of
/// the allowed change in a window, within bounds.
constexpr double kDepthPart = 0.2;
constexpr double kMinDepth = 0.6;
constexpr double kMaxDepth = 4;
/// Weight of the present gap between requests in their rate.
constexpr double kRateWeight = 0.05;
constexpr double kMinGapSeconds = 0.0005;
/// Longest gap between requests for which the share moves on.
constexpr double kMaxGapSeconds = 0.5;
constexpr double kMaxFirstFar = 0.8;
/// Part of its slots that a region short of them uses at first: objects are
/// cold then and hold slots for longer.
constexpr double kColdStart = 0.85;

double DepthOf(const RegionShare& aShare) noexcept
{
  return std::clamp(kDepthPart * aShare.mMaxShift * aShare.mPerWindow,
                    kMinDepth, kMaxDepth);
}

/// Moves the share toward the preference.
/// @returns the seconds since the last request, within bounds
double Follow(RegionShare& aShare, bool aPrefersFar, TimePoint aNow) noexcept
{
  const std::chrono::duration<double> gap = aNow - aShare.mUpdated;
  const double seconds = std::min(gap.count(), kMaxGapSeconds);
  aShare.mUpdated = aNow;
  aShare.mPreferred +=
    kPreferenceWeight * ((aPrefersFar ? 1 : 0) - aShare.mPreferred);
  const double step = aShare.mMaxShift * kSlewPart / kWindowSeconds * seconds;
  aShare.mFar += std::clamp(aShare.mPreferred - aShare.mFar, -step, step);
  return seconds;
}

} // namespace

void ExpectFarShare(RegionShare& aShare, double aFar) noexcept
{
  if (aShare.mUpdated == TimePoint{}) {
    aShare.mFar = aFar;
    aShare.mPreferred = aFar;
  }
}

void NoteRegion(RegionShare& aShare, bool aPrefersFar, bool aFar, bool aStrict,
                TimePoint aNow) noexcept
{
  const auto seconds = Follow(aShare, aPrefersFar, aNow);
  if (!aStrict) {
    aShare.mFar += seconds / kWindowSeconds * ((aFar ? 1 : 0) - aShare.mFar);
  }
  // An average of gaps, since that of rates is drawn to the shortest gaps.
  const double mean =
    aShare.mPerWindow > 0 ? kWindowSeconds / aShare.mPerWindow : seconds;
  aShare.mPerWindow =
    kWindowSeconds /
    std::max(kMinGapSeconds, mean + kRateWeight * (seconds - mean));
  const double depth = DepthOf(aShare);
  aShare.mTokens =
    std::clamp(aShare.mTokens + aShare.mFar - (aFar ? 1 : 0), -depth, depth);
}

void NoteRefused(RegionShare& aShare, bool aPrefersFar, TimePoint aNow) noexcept
{
  (void)Follow(aShare, aPrefersFar, aNow);
}

ShiftBound ShiftBoundOf(const RegionShare& aShare, TimePoint aDisturbed,
                        TimePoint aNow) noexcept
{
  const double next = aShare.mTokens + aShare.mFar;
  const double depth = DepthOf(aShare);
  return { next <= depth, next - 1 >= -depth,
           aNow - aDisturbed > aShare.mUnrest };
}

double FirstFarShare(double aOwnSlots, double aAllSlots, double aOwnDomains,
                     double aAllDomains) noexcept
{
  if (aAllSlots <= 0 || aOwnDomains <= 0) {
    return 0;
  }
  const double slots = aOwnSlots / aAllSlots;
  const double callers = aOwnDomains / aAllDomains;
  if (slots >= callers) {
    return 0;
  }
  return std::min(1 - kColdStart * slots / callers, kMaxFirstFar);
}

} // namespace guavaline
