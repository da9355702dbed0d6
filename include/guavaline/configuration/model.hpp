#pragma once

/// The accepted configuration, which every host holds whole.

#include <guavaline/core/units.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavaline {

/// A group of failure domains that are close to each other.
struct Region
{
  std::string mName;
  std::vector<std::string> mFailureDomains;

  bool operator==(const Region&) const = default;
};

/// The path from one region to another, one way.
struct Link
{
  std::string mFrom;
  std::string mTo;
  Millis mDelay{ 0 };  ///< One-way delay.
  BitRate mCapacity{}; ///< Rate that steering may use.

  bool operator==(const Link&) const = default;
};

/// A host that runs guavalined and answers callers.
struct EntryHost
{
  std::string mName;
  std::string mAddress; ///< IP number.
  std::uint16_t mPort = 0;
  std::uint16_t mPeerPort = 0;
  std::string mRegion;
  std::string mFailureDomain;

  bool operator==(const EntryHost&) const = default;
};

/// A server of a service.
struct Target
{
  std::string mName;
  std::string mAddress; ///< IP number.
  std::uint16_t mPort = 0;
  std::string mRegion;
  std::string mFailureDomain;
  std::uint32_t mSlots = 0; ///< Requests it can run at once.

  bool operator==(const Target&) const = default;
};

/// How requests of one method are treated.
struct RequestClass
{
  std::string mName;
  std::string mMethod;         ///< HTTP method that selects the class.
  bool mIdempotent = false;    ///< True where running twice does no harm.
  Millis mDeadline{ 0 };       ///< Longest time to an answer.
  std::uint32_t mPriority = 1; ///< 1 is served first under shortage.

  bool operator==(const RequestClass&) const = default;
};

/// A service and its targets.
struct Service
{
  std::string mName;
  double mShiftCapPercent = 0; ///< Share that may move in one window.
  Millis mShiftCapWindow{ 60'000 };
  Millis mWarmUp{ 30'000 }; ///< Time until a cold region bears full load.
  std::vector<RequestClass> mClasses;
  std::vector<Target> mTargets;

  bool operator==(const Service&) const = default;
};

/// What a drain empties.
enum class DrainScope {
  Region = 1,
  FailureDomain,
  Target,
  Entry,
};

/// Planned work: by mBy the named place has no traffic left.
struct Drain
{
  std::string mName;
  DrainScope mScope = DrainScope::Region;
  std::string mPlace; ///< Name of the region, domain, target or entry.
  WallTime mBy{};     ///< Empty by this time.
  WallTime mUntil{};  ///< Traffic may come back from this time on.

  bool operator==(const Drain&) const = default;
};

/// Everything that operators decide.
struct Configuration
{
  std::string mDeployment;
  std::string mChangeId; ///< Identity of the change that wrote it.
  Millis mLookupTtl{ 5'000 };
  Millis mIdentityRetention{ 600'000 };
  Millis mSlotQuarantine{ 2'000 };
  double mLocalSlotPercent = 70; ///< Slots owned by entries of the region.
  std::vector<Region> mRegions;
  std::vector<Link> mLinks;
  std::vector<EntryHost> mEntries;
  std::vector<Service> mServices;
  std::vector<Drain> mDrains;

  bool operator==(const Configuration&) const = default;
};

/// A configuration and the version that the store gave it.
struct AcceptedConfiguration
{
  std::uint64_t mVersion = 0; ///< 0 where none is held.
  Configuration mConfiguration;
};

/// @returns the service with a name, or null
[[nodiscard]] const Service* FindService(const Configuration& aConfiguration,
                                         const std::string& aName) noexcept;

/// @returns the entry with a name, or null
[[nodiscard]] const EntryHost* FindEntry(const Configuration& aConfiguration,
                                         const std::string& aName) noexcept;

/// @returns the class that serves a method, or null
[[nodiscard]] const RequestClass* FindClass(
  const Service& aService, const std::string& aMethod) noexcept;

/// @returns the link between two regions, or null
[[nodiscard]] const Link* FindLink(const Configuration& aConfiguration,
                                   const std::string& aFrom,
                                   const std::string& aTo) noexcept;

/// @returns the slots of a service in a region
[[nodiscard]] std::uint32_t RegionSlots(const Service& aService,
                                        const std::string& aRegion) noexcept;

} // namespace guavaline
