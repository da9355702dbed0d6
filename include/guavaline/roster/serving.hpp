#pragma once

/// Which entries of a region its callers are led to. Few entries that serve
/// much keep their connections to targets in use and know the targets' load;
/// all others stand by, and take over within the time that callers keep a
/// look-up.

#include <guavaline/core/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace guavaline {

/// A live entry of the region.
struct ServingCandidate
{
  std::string mName;
  std::string mFailureDomain;
  double mCapacity = 0; ///< Requests a second that it can bear.
};

/// Requests a second of a region: the highest of late.
struct RegionRate
{
  double mPeak = 0;
  TimePoint mUpdated{};
};

/// @returns requests a second that a host can bear
/// @param aCores     of the host, as a number of whole cores
/// @param aMegabits  of its link, a second
[[nodiscard]] double CapacityOf(double aCores, double aMegabits) noexcept;

/// Takes in the present rate. A region of which nothing is known yet is taken
/// to need all of its capacity.
/// @param aRate      requests a second of all live entries
/// @param aCapacity  of all live entries
void NoteRegionRate(RegionRate& aRegion, double aRate, double aCapacity,
                    TimePoint aNow) noexcept;

/// @returns the names of the entries to lead callers to: a part of the
///          capacity and two entries of each failure domain at least, and so
///          many that none gets more than a part of what it can bear
/// @param aPeak  requests a second of the region
[[nodiscard]] std::vector<std::string> ChooseServing(
  std::vector<ServingCandidate> aLive, double aPeak);

} // namespace guavaline
