#include <guavaline/placement/region_share.hpp>

#include <algorithm>

namespace guavaline {
namespace {

/// The platform's rule compares windows of this length.
constexpr Millis kWindow{ 2'000 };
constexpr Millis kSlice{ 250 };
/// Part of the allowed change that is used: callers' requests are not spread
/// evenly over the entries.
constexpr double kUsedPart = 0.9;
/// Requests in a window below which a share says nothing.
constexpr std::uint32_t kFew = 10;
constexpr double kMostFirstFar = 0.8;

struct WindowCount
{
  std::uint32_t mFar = 0;
  std::uint32_t mAll = 0;
};

WindowCount CountWindow(const RegionShare& aShare, TimePoint aFrom,
                        TimePoint aTo) noexcept
{
  WindowCount out;
  for (const auto& it : aShare.mSlices) {
    if (it.mStart >= aFrom && it.mStart < aTo) {
      out.mFar += it.mFar;
      out.mAll += it.mNear + it.mFar;
    }
  }
  return out;
}

} // namespace

void NoteRegion(RegionShare& aShare, bool aFar, TimePoint aNow)
{
  auto& slices = aShare.mSlices;
  while (!slices.empty() && aNow - slices.front().mStart > 2 * kWindow) {
    slices.pop_front();
  }
  if (slices.empty() || aNow - slices.back().mStart >= kSlice) {
    slices.push_back({ aNow, 0, 0 });
  }
  ++(aFar ? slices.back().mFar : slices.back().mNear);
}

RegionLeeway LeewayOf(const RegionShare& aShare, TimePoint aNow) noexcept
{
  RegionLeeway out;
  const auto present = CountWindow(aShare, aNow - kWindow, aNow + kWindow);
  const auto before = CountWindow(aShare, aNow - 2 * kWindow, aNow - kWindow);
  if (present.mAll < kFew) {
    return out;
  }
  const double last = before.mAll < kFew
                        ? aShare.mFirstFar
                        : static_cast<double>(before.mFar) / before.mAll;
  const double step = aShare.mMostShift * kUsedPart;
  const double all = present.mAll + 1.0;
  out.mMayLeave = (present.mFar + 1.0) / all <= last + step;
  out.mMayStay = present.mFar / all >= last - step;
  return out;
}

double FirstFarShare(double aOwnSlots, double aAllSlots, double aOwnEntries,
                     double aAllEntries) noexcept
{
  if (aAllSlots <= 0 || aOwnEntries <= 0) {
    return 0;
  }
  const double slots = aOwnSlots / aAllSlots;
  const double callers = aOwnEntries / aAllEntries;
  return std::clamp(1 - slots / callers, 0.0, kMostFirstFar);
}

} // namespace guavaline
