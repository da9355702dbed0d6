#pragma once

/// Descriptions of the configuration's structs for the codec.

#include <guavaline/configuration/model.hpp>
#include <guavaline/configuration/questionnaire.hpp>

#include <boost/describe.hpp>

namespace guavaline {

BOOST_DESCRIBE_STRUCT(Region, (), (mName, mFailureDomains))
BOOST_DESCRIBE_STRUCT(Link, (), (mFrom, mTo, mDelay, mCapacity))
BOOST_DESCRIBE_STRUCT(EntryHost, (),
                      (mName, mAddress, mPort, mPeerPort, mRegion,
                       mFailureDomain))
BOOST_DESCRIBE_STRUCT(Target, (),
                      (mName, mAddress, mPort, mRegion, mFailureDomain, mSlots))
BOOST_DESCRIBE_STRUCT(RequestClass, (),
                      (mName, mMethod, mIdempotent, mDeadline, mPriority))
BOOST_DESCRIBE_STRUCT(Service, (),
                      (mName, mShiftCapPercent, mShiftCapWindow, mWarmUp,
                       mClasses, mTargets))
BOOST_DESCRIBE_ENUM(DrainScope, Region, FailureDomain, Target, Entry)
BOOST_DESCRIBE_STRUCT(Drain, (), (mName, mScope, mPlace, mBy, mUntil))
BOOST_DESCRIBE_STRUCT(Configuration, (),
                      (mDeployment, mChangeId, mLookupTtl, mIdentityRetention,
                       mSlotQuarantine, mLocalSlotPercent, mRegions, mLinks,
                       mEntries, mServices, mDrains))

BOOST_DESCRIBE_ENUM(Weight, Latency, DrainTime)
BOOST_DESCRIBE_STRUCT(LinkAnswer, (), (mOneWayDelay, mCapacity))
BOOST_DESCRIBE_STRUCT(TargetGroup, (),
                      (mRegion, mFailureDomain, mCount, mAddress, mFirstPort))
BOOST_DESCRIBE_STRUCT(ServiceAnswer, (),
                      (mName, mSlotsPerTarget, mCheckWithin, mConfirmWithin,
                       mUploadWithin, mShiftPercentPerMinute, mWarmUp,
                       mTargetGroups))
BOOST_DESCRIBE_STRUCT(Answers, (),
                      (mDeployment, mMattersMost, mRegions, mBetweenRegions,
                       mEntries, mServices))

} // namespace guavaline
