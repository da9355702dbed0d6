#include <guavaline/placement/region_share.hpp>

#include <algorithm>

namespace guavaline {
namespace {

/// The platform's rule compares windows of this length.
constexpr double kWindowSeconds = 2;
/// Part of the allowed change that the share itself may make; the rest is for
/// the bucket's depth.
constexpr double kSlewPart = 0.6;
constexpr double kWishWeight = 0.1;
/// Requests by which the use of the share may be ahead or behind.
constexpr double kDepth = 4;
/// Longest gap between requests for which the share moves on.
constexpr double kMostGapSeconds = 0.5;
constexpr double kMostFirstFar = 0.8;
/// Part of its slots that a region short of them uses at first: objects are
/// cold then and hold slots for longer.
constexpr double kColdStart = 0.85;

} // namespace

void ExpectFarShare(RegionShare& aShare, double aFar) noexcept
{
  if (aShare.mUpdated == TimePoint{}) {
    aShare.mFar = aFar;
    aShare.mWish = aFar;
  }
}

void NoteRegion(RegionShare& aShare, bool aWishFar, bool aFar,
                TimePoint aNow) noexcept
{
  const std::chrono::duration<double> gap = aNow - aShare.mUpdated;
  const double seconds = std::min(gap.count(), kMostGapSeconds);
  aShare.mUpdated = aNow;
  aShare.mWish += kWishWeight * ((aWishFar ? 1 : 0) - aShare.mWish);
  const double step = aShare.mMostShift * kSlewPart / kWindowSeconds * seconds;
  aShare.mFar += std::clamp(aShare.mWish - aShare.mFar, -step, step);
  aShare.mTokens =
    std::clamp(aShare.mTokens + aShare.mFar - (aFar ? 1 : 0), -kDepth, kDepth);
}

RegionLeeway LeewayOf(const RegionShare& aShare) noexcept
{
  const double next = aShare.mTokens + aShare.mFar;
  return { next <= kDepth, next - 1 >= -kDepth };
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
  return std::min(1 - kColdStart * slots / callers, kMostFirstFar);
}

} // namespace guavaline
