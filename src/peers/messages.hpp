#pragma once

/// Messages between entries.

#include "codec/described.hpp"
#include "crashes/crash_wire.hpp"

#include <guavaline/admission/slots.hpp>
#include <guavaline/attempts/attempts.hpp>
#include <guavaline/membership/membership.hpp>

namespace guavaline {

BOOST_DESCRIBE_STRUCT(Incarnation, (), (mEntry, mNumber))
BOOST_DESCRIBE_STRUCT(MemberNews, (),
                      (mName, mIncarnation, mCounter, mLeaving, mVersion))
BOOST_DESCRIBE_STRUCT(Heartbeat, (), (mSender, mNews, mCrashers, mCrashes))
BOOST_DESCRIBE_STRUCT(Outcome, (), (mStatus, mContentType, mBody))
BOOST_DESCRIBE_ENUM(ResolveVerdict, Yours, Done, Busy, HeldBy, Unknown)

namespace detail {

/// Kinds of call; each is a path on the peer connection.
inline constexpr const char* kHeartbeatCall = "heartbeat";
inline constexpr const char* kConfigurationCall = "configuration";
inline constexpr const char* kResolveCall = "resolve";
inline constexpr const char* kBorrowCall = "borrow";
inline constexpr const char* kReturnCall = "return";
inline constexpr const char* kRecallCall = "recall";
inline constexpr const char* kOfferCall = "offer";

/// Asks for the configuration if it is newer than a version.
struct ConfigurationQuestion
{
  std::uint64_t mAbove = 0;
};

/// A configuration as it is held; version 0 says that none is newer.
struct ConfigurationMessage
{
  std::uint64_t mVersion = 0;
  std::string mConfiguration; ///< As the store holds it.
};

/// Asks a holder for an identity.
struct ResolveQuestion
{
  std::string mIdentity;
  Incarnation mAsked;
  Incarnation mAsker;
};

struct ResolveMessage
{
  ResolveVerdict mVerdict = ResolveVerdict::Unknown;
  std::optional<Outcome> mOutcome;
  std::optional<Incarnation> mHolder;
};

/// Asks for idle slots.
struct BorrowQuestion
{
  std::string mBorrower;
  std::uint64_t mVersion = 0; ///< Target indices hold for this version.
  std::string mService;
  std::string mRegion;
  std::uint32_t mWant = 0;
  std::vector<std::uint32_t> mExcluded; ///< Targets of no use to it.
};

struct LentSlot
{
  std::uint64_t mId = 0;
  std::uint32_t mTarget = 0;
};

struct BorrowMessage
{
  std::uint64_t mLender = 0; ///< Incarnation of the lender.
  Millis mTerm{ 0 };
  std::vector<LentSlot> mLoans;
  /// Loans of the asker that its borrower gives back with this answer.
  std::vector<std::uint64_t> mReturned;
};

/// Gives loans back before their end.
struct ReturnMessage
{
  std::string mBorrower;
  std::string mService;
  std::vector<std::uint64_t> mIds;
  /// Set where a peer asked the borrower in vain: the slots go to it next.
  std::optional<BorrowQuestion> mFor;
};

/// Slots that an entry gives away because it is about to stop.
struct OfferMessage
{
  std::string mLender;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mVersion = 0; ///< Target indices hold for this version.
  std::string mService;
  Millis mTerm{ 0 };
  std::vector<LentSlot> mLoans;
};

/// A started entry asks what its earlier life lent.
struct RecallQuestion
{
  std::string mLender;
  std::uint64_t mIncarnation = 0; ///< Of the life that asks.
};

/// A loan that is still in use at the borrower.
struct RecalledLoan
{
  std::string mService;
  std::uint64_t mId = 0;
  Millis mLeft{ 0 };
  std::uint32_t mTarget = 0;
};

struct RecallMessage
{
  std::uint64_t mVersion = 0; ///< Target indices hold for this version.
  std::vector<RecalledLoan> mLoans;
};

BOOST_DESCRIBE_STRUCT(RecallQuestion, (), (mLender, mIncarnation))
BOOST_DESCRIBE_STRUCT(RecalledLoan, (), (mService, mId, mLeft, mTarget))
BOOST_DESCRIBE_STRUCT(RecallMessage, (), (mVersion, mLoans))
BOOST_DESCRIBE_STRUCT(ConfigurationQuestion, (), (mAbove))
BOOST_DESCRIBE_STRUCT(ConfigurationMessage, (), (mVersion, mConfiguration))
BOOST_DESCRIBE_STRUCT(ResolveQuestion, (), (mIdentity, mAsked, mAsker))
BOOST_DESCRIBE_STRUCT(ResolveMessage, (), (mVerdict, mOutcome, mHolder))
BOOST_DESCRIBE_STRUCT(BorrowQuestion, (),
                      (mBorrower, mVersion, mService, mRegion, mWant,
                       mExcluded))
BOOST_DESCRIBE_STRUCT(LentSlot, (), (mId, mTarget))
BOOST_DESCRIBE_STRUCT(BorrowMessage, (), (mLender, mTerm, mLoans, mReturned))
BOOST_DESCRIBE_STRUCT(OfferMessage, (),
                      (mLender, mIncarnation, mVersion, mService, mTerm,
                       mLoans))
BOOST_DESCRIBE_STRUCT(ReturnMessage, (), (mBorrower, mService, mIds, mFor))

} // namespace detail
} // namespace guavaline
