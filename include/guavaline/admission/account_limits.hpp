#pragma once

/// Limits of client accounts, which hold for all entries together. Each entry
/// decides on its own requests: from a token bucket for its share of the
/// account's rate, and from what the other entries last reported. Entries
/// report what they counted in the last window, so that a later report makes a
/// lost one good, and the clocks of hosts are never compared.

#include <guavaline/core/time.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace guavaline {

/// What requests in any window may come to: (rate x window + burst) x
/// (1 + mOver) + mSlack.
struct AccountBounds
{
  Millis mWindow{ 5'000 };
  double mOver = 0.1;
  double mSlack = 20;
};

/// Limit of one account over all entries.
struct AccountLimit
{
  double mPerSecond = 0; ///< 0 for no limit.
  double mBurst = 0;

  bool operator==(const AccountLimit&) const = default;
};

/// Requests of one account at one entry or in one region.
struct AccountFigures
{
  std::uint64_t mAsked = 0;    ///< In the last two fifths of a window.
  std::uint64_t mAdmitted = 0; ///< In the last window.
};

/// Parts of a window in which requests are counted.
inline constexpr std::size_t kWindowSlots = 25;

/// Requests of the last window, by the time at which they came.
struct RequestWindow
{
  struct Slot
  {
    std::uint32_t mAsked = 0;
    std::uint32_t mAdmitted = 0;
  };
  /// One more than the window has: the present slot has only begun.
  std::array<Slot, kWindowSlots + 1> mSlots{};
  std::int64_t mLatest = 0; ///< Number of the present slot.
};

/// Figures of one account that another entry or region reported.
struct HeardFigures
{
  AccountFigures mFigures;
  TimePoint mMade{};
};

/// Another entry of the region, or another region.
struct AccountPeer
{
  double mEntries = 1; ///< That serve callers there.
  /// When its last report was made; nothing where none came yet.
  std::optional<TimePoint> mMade;
  TimePoint mSince{}; ///< Since when it counts requests.
  TimePoint mAdded{};
  std::map<std::string, HeardFigures> mFigures; ///< By account.
};

/// What the others' reports say of an account.
struct OthersView
{
  double mShare = 1;    ///< This entry's share of the limit.
  double mAdmitted = 0; ///< By all others, in a window.
  double mAsked = 0;    ///< Requests a second, of all entries.
  /// Mean age of their figures, weighted with their shares.
  std::chrono::duration<double> mAge{ 0 };
  double mReserved = 0; ///< Share of those that are silent.
  /// Part of the window in which requests were not counted, since entries had
  /// not started yet; weighted with their shares.
  double mUncounted = 0;
};

/// One account that has a limit, as one entry sees it.
struct AccountUse
{
  AccountLimit mLimit;
  TimePoint mKnownSince{}; ///< Since when requests are counted.
  TimePoint mLowered{};    ///< When its limit last became smaller.
  RequestWindow mOwn;
  AccountFigures mTold; ///< What was last reported to others.
  TimePoint mToldAt{};  ///< When that was.
  double mTokens = 0;   ///< At mFilled; below 0 for a debt.
  TimePoint mFilled{};
  OthersView mOthers;
  TimePoint mOthersAt{};      ///< When mOthers was computed.
  TimePoint mLogged{};        ///< When a refusal was last logged.
  std::uint64_t mRefused = 0; ///< Since the last summary.
};

struct AccountLimits
{
  AccountBounds mBounds;
  TimePoint mStarted{};                        ///< When peers were first named.
  std::map<std::string, AccountUse> mAccounts; ///< By name.
  std::map<std::string, AccountPeer> mPeers;   ///< Of the region, by name.
  std::map<std::string, AccountPeer> mRegions; ///< The others, by name.
};

/// A report of one entry, or of a region.
struct AccountReport
{
  struct Item
  {
    std::string mAccount;
    AccountFigures mFigures;
  };
  double mEntries = 1;  ///< That serve callers there.
  Millis mAge{ 0 };     ///< Of its figures.
  Millis mCounted{ 0 }; ///< How long requests are counted, a window at most.
  std::vector<Item> mItems;
};

/// Sets the limit of an account; one without a limit is forgotten. A changed
/// limit is in force at once.
/// @returns true where the limit changed
bool SetAccountLimit(AccountLimits& aLimits, const std::string& aAccount,
                     const AccountLimit& aLimit, TimePoint aNow);

/// Names the other entries that share the limits. Entries that were named
/// before and fell silent keep an equal share for a while, since they may be
/// cut off and serve on.
/// @param aServing  names of the entries of the region that serve callers
/// @param aIdle     names of those that live or end, and do not serve
/// @param aRegions  entries of each other region
void ExpectPeers(AccountLimits& aLimits, const std::set<std::string>& aServing,
                 const std::set<std::string>& aIdle,
                 const std::map<std::string, std::size_t>& aRegions,
                 TimePoint aNow);

/// Takes in the report of an entry of the region.
void HearEntry(AccountLimits& aLimits, const std::string& aEntry,
               const AccountReport& aReport, TimePoint aNow);

/// Takes in the report of another region.
void HearRegion(AccountLimits& aLimits, const std::string& aRegion,
                const AccountReport& aReport, TimePoint aNow);

/// @returns what to report of this entry: the accounts with requests of late,
///          and at times the others with requests in the window
[[nodiscard]] AccountReport TellEntry(AccountLimits& aLimits, TimePoint aNow);

/// @returns true where this entry reports on the region to others: the first by
///          name of those heard of late
[[nodiscard]] bool SpeaksForRegion(const AccountLimits& aLimits,
                                   const std::string& aSelf, TimePoint aNow);

/// @returns what to report of the region to others
[[nodiscard]] AccountReport TellRegion(const AccountLimits& aLimits,
                                       TimePoint aNow);

/// Decides on a request, and charges it to the account where it is admitted.
/// @returns the time until one is expected to be admitted; nothing where this
///          one is, or where the account has no limit
[[nodiscard]] std::optional<Millis> TakeRequest(AccountLimits& aLimits,
                                                const std::string& aAccount,
                                                TimePoint aNow);

/// Gives back what was charged for a request that no target ran.
void GiveBack(AccountLimits& aLimits, const std::string& aAccount,
              TimePoint aNow);

/// @returns what the others' reports say of an account at present
[[nodiscard]] OthersView ViewOthers(const AccountLimits& aLimits,
                                    const std::string& aAccount,
                                    TimePoint aNow);

/// @returns requests of this entry in the window that ends now
[[nodiscard]] AccountFigures OwnFigures(const AccountLimits& aLimits,
                                        const AccountUse& aUse,
                                        TimePoint aNow) noexcept;

} // namespace guavaline
