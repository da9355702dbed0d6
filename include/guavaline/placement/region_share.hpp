#pragma once

/// Bounds how fast an entry moves its requests between regions, so that the
/// links and caches of a region never meet a sudden shift. The share that
/// leaves the entry's own region follows the preference of placement slowly,
/// and a token bucket holds the requests to it.

#include <guavaline/core/time.hpp>

namespace guavaline {

struct RegionShare
{
  double mMaxShift = 0.15; ///< Bound on the change between two windows.
  /// How long after a disturbance requests leave a region without room at once.
  Millis mUnrest{ 4'000 };
  double mFar = 0;       ///< Share that may run in other regions.
  double mPreferred = 0; ///< Share that would if nothing bound it.
  double mTokens = 0;    ///< Requests that the share is ahead of its use.
  double mPerWindow = 0; ///< Requests in one window, averaged.
  TimePoint mUpdated{};  ///< When the last request was sent.
};

/// Which way a request may go.
struct ShiftBound
{
  bool mMayStay = true;
  bool mMayLeave = true;
  /// It binds also where the region that it names has no room.
  bool mStrict = false;
};

/// Sets the share that is expected before anything was sent.
void ExpectFarShare(RegionShare& aShare, double aFar) noexcept;

/// Notes a request that is sent. While the bound on shifts is not strict the
/// share follows where requests go, so that it binds from there once it is.
/// @param aPrefersFar  it would go to another region if nothing bound it
/// @param aFar      it goes to another region
/// @param aStrict   the bound on shifts was strict when it was placed
void NoteRegion(RegionShare& aShare, bool aPrefersFar, bool aFar, bool aStrict,
                TimePoint aNow) noexcept;

/// Notes a request that is refused because of the bound on shifts: it counts
/// for where requests would go, and moves the share.
void NoteRefused(RegionShare& aShare, bool aPrefersFar,
                 TimePoint aNow) noexcept;

/// @returns where the next request may go
/// @param aDisturbed  when a target, connection, entry or the store was last
///                    seen to change or fail
[[nodiscard]] ShiftBound ShiftBoundOf(const RegionShare& aShare,
                                      TimePoint aDisturbed,
                                      TimePoint aNow) noexcept;

/// @returns the far share that evens out the slots of a region and its
///          callers, who are taken to be spread evenly over failure domains
/// @param aOwnSlots    slots of the own region's targets, of all
/// @param aOwnDomains  failure domains of the own region, of all
[[nodiscard]] double FirstFarShare(double aOwnSlots, double aAllSlots,
                                   double aOwnDomains,
                                   double aAllDomains) noexcept;

} // namespace guavaline
