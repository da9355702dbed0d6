#pragma once

/// Which part of a service's traffic from each place goes to which region,
/// and how fast that may change.

#include <guavaline/configuration/model.hpp>
#include <guavaline/core/time.hpp>

#include <string>
#include <vector>

namespace guavaline {

/// Part of the traffic by region index; the parts add up to 1.
using Shares = std::vector<double>;

/// How fast shares may move.
struct ShiftCap
{
  double mShare = 0; ///< Part of the traffic that may move in one window.
  Millis mWindow{ 60'000 };
};

/// @returns the cap of a service
[[nodiscard]] ShiftCap CapOf(const Service& aService) noexcept;

/// Part of each region that can take work, by region index, 0 to 1.
using RegionFactors = std::vector<double>;

/// Works out where traffic should go: home where it can be served, else to
/// the other regions by their capacity.
/// @param aHome     region index of the callers' place
/// @param aFactors  what part of each region's slots serves
[[nodiscard]] Shares DesiredShares(const Configuration& aConfiguration,
                                   const Service& aService, std::size_t aHome,
                                   const RegionFactors& aFactors);

/// @returns the part of the traffic that differs between two share lists
[[nodiscard]] double ShiftBetween(const Shares& aFirst,
                                  const Shares& aSecond) noexcept;

/// Moves shares toward a goal by no more than a part of the traffic.
[[nodiscard]] Shares MoveShares(const Shares& aFrom, const Shares& aGoal,
                                double aMost);

/// Shares in force at one entry for one service and place.
struct ShareState
{
  Shares mShares;
  TimePoint mMoved;                  ///< When they were last moved.
  std::vector<double> mCredit;       ///< Smooth choice state by region.
  std::vector<std::string> mRegions; ///< Names of the regions, in order.
};

/// Fits shares to the regions that a configuration lists, by their names. What
/// regions that are gone had goes where the plan has it; a state without shares
/// starts with the planned ones.
void FitShares(ShareState& aState, const Configuration& aConfiguration,
               const Shares& aPlanned, TimePoint aNow);

/// Moves the shares in force toward a goal under a cap. Time during which
/// nothing was moved, as in a paused process, gives no extra allowance.
void Advance(ShareState& aState, const Shares& aGoal, const ShiftCap& aCap,
             TimePoint aNow);

/// Picks the region for the next request so that picks follow the shares.
/// @returns the region index
[[nodiscard]] std::size_t PickRegion(ShareState& aState);

/// When a drain moves its traffic.
struct DrainSchedule
{
  std::string mName;
  std::size_t mRegion = 0; ///< Region index.
  WallTime mStart{};       ///< Latest safe start.
  WallTime mBy{};
  WallTime mUntil{};
};

/// Works out the latest safe start of each region drain of a service, so
/// that drains one after another each end in time under the cap.
[[nodiscard]] std::vector<DrainSchedule> ScheduleDrains(
  const Configuration& aConfiguration, const Service& aService);

/// @returns each region's planned factor at a time
[[nodiscard]] RegionFactors PlannedFactors(const Configuration& aConfiguration,
                                           const Service& aService,
                                           WallTime aNow);

/// Works out the shares that hold at a time by the plan alone; every entry
/// gets the same result, so a started entry begins where the others are.
[[nodiscard]] Shares PlannedShares(const Configuration& aConfiguration,
                                   const Service& aService, std::size_t aHome,
                                   WallTime aNow);

/// @returns true where a target, domain or entry drain is in force or so
///          near that new work must no longer go there
[[nodiscard]] bool IsDrained(const Configuration& aConfiguration,
                             DrainScope aScope, const std::string& aPlace,
                             WallTime aNow) noexcept;

} // namespace guavaline
