#pragma once

/// Bounds how fast an entry moves its requests between regions, so that the
/// links and caches of a region never meet a sudden shift. The share that
/// leaves the entry's own region may differ only a little between one window
/// and the next.

#include <guavaline/core/time.hpp>

#include <cstdint>
#include <deque>

namespace guavaline {

/// Requests sent in one slice of time.
struct RegionSlice
{
  TimePoint mStart{};
  std::uint32_t mNear = 0; ///< Run in the entry's own region.
  std::uint32_t mFar = 0;  ///< Run in another one.
};

struct RegionShare
{
  double mFirstFar = 0;     ///< Far share before anything was sent.
  double mMostShift = 0.15; ///< Bound on the change between two windows.
  std::deque<RegionSlice> mSlices;
};

/// Which way a request may go.
struct RegionLeeway
{
  bool mMayStay = true;
  bool mMayLeave = true;
};

/// Notes a request that is sent.
void NoteRegion(RegionShare& aShare, bool aFar, TimePoint aNow);

/// @returns where the next request may go
[[nodiscard]] RegionLeeway LeewayOf(const RegionShare& aShare,
                                    TimePoint aNow) noexcept;

/// @returns the far share that evens out the slots of a region and the
///          callers that its entries stand for
/// @param aOwnSlots    slots of the own region's targets, of all
/// @param aOwnEntries  entries of the own region, of all
[[nodiscard]] double FirstFarShare(double aOwnSlots, double aAllSlots,
                                   double aOwnEntries,
                                   double aAllEntries) noexcept;

} // namespace guavaline
