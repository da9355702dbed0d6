#pragma once

/// JSON bodies of the HTTP interface to callers and operators.

#include "codec/described.hpp"

namespace guavaline::detail {

/// One entry that a caller may use.
struct LookupEntry
{
  std::string mAddress; ///< "IP:PORT".
  std::string mRegion;
  std::string mFailureDomain;
};

/// Answer to a look-up.
struct LookupAnswer
{
  std::string mService;
  std::vector<LookupEntry> mEntries; ///< Best first.
  std::int64_t mTtlMs = 0;
  std::uint64_t mVersion = 0;
  std::string mIdentityPrefix; ///< For the first entry's identities.
};

/// A configuration pushed by an operator's tool.
struct PushedConfiguration
{
  std::uint64_t mVersion = 0;
  std::string mConfiguration; ///< As the store holds it.
};

/// Answer to a push: the version in force now.
struct PushAnswer
{
  std::uint64_t mVersion = 0;
};

struct MemberStatusLine
{
  std::string mName;
  std::string mStatus;
  std::uint64_t mVersion = 0;
};

struct ShareLine
{
  std::string mPlace;
  std::map<std::string, double> mByRegion;
};

struct RegionLine
{
  std::string mRegion;
  std::uint32_t mOwned = 0;  ///< Slots that this entry owns there.
  std::uint32_t mUsable = 0; ///< Owned and borrowed, less lent.
  std::uint32_t mInUse = 0;
  std::uint32_t mTargets = 0; ///< Targets that get new work.
};

struct ServiceStatus
{
  std::string mService;
  std::vector<ShareLine> mShares;
  std::vector<RegionLine> mRegions;
};

struct DrainStatus
{
  std::string mName;
  std::string mService;
  std::string mStart;
  std::string mBy;
  std::string mUntil;
  std::string mState;
};

/// What one entry says of itself.
struct NodeStatus
{
  std::string mName;
  std::string mIncarnation;
  std::uint64_t mVersion = 0;
  bool mLeaving = false;
  std::vector<MemberStatusLine> mMembers;
  std::vector<ServiceStatus> mServices;
  std::vector<DrainStatus> mDrains;
};

BOOST_DESCRIBE_STRUCT(LookupEntry, (), (mAddress, mRegion, mFailureDomain))
BOOST_DESCRIBE_STRUCT(LookupAnswer, (),
                      (mService, mEntries, mTtlMs, mVersion, mIdentityPrefix))
BOOST_DESCRIBE_STRUCT(PushedConfiguration, (), (mVersion, mConfiguration))
BOOST_DESCRIBE_STRUCT(PushAnswer, (), (mVersion))
BOOST_DESCRIBE_STRUCT(MemberStatusLine, (), (mName, mStatus, mVersion))
BOOST_DESCRIBE_STRUCT(ShareLine, (), (mPlace, mByRegion))
BOOST_DESCRIBE_STRUCT(RegionLine, (),
                      (mRegion, mOwned, mUsable, mInUse, mTargets))
BOOST_DESCRIBE_STRUCT(ServiceStatus, (), (mService, mShares, mRegions))
BOOST_DESCRIBE_STRUCT(DrainStatus, (),
                      (mName, mService, mStart, mBy, mUntil, mState))
BOOST_DESCRIBE_STRUCT(NodeStatus, (),
                      (mName, mIncarnation, mVersion, mLeaving, mMembers,
                       mServices, mDrains))

} // namespace guavaline::detail
