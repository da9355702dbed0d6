#include <guavaline/admission/account_limits.hpp>

#include <algorithm>
#include <cmath>

namespace guavaline {
namespace {

using SecondsF = std::chrono::duration<double>;

/// Slots over which demand is measured: a shorter time follows callers that
/// move within a second, a longer one is steadier for small accounts.
constexpr std::int64_t kDemandSlots = kWindowSlots * 2 / 5;
constexpr std::int64_t kAllSlots = kWindowSlots;
/// Slots after whose last request an account is left out of reports. More than
/// the period of reports, so that a lost report is made good by the next one.
constexpr std::int64_t kTellSlots = 3;
/// All accounts with requests in the window are reported so often.
constexpr Millis kRetell{ 1'000 };
/// Bounds the bytes of a report.
constexpr std::size_t kMaxItems = 64;
/// Silence after which an entry's demand is dropped.
constexpr Millis kSilence{ 2'000 };
/// Silence after which another entry reports on the region.
constexpr Millis kSpeakerSilence{ 700 };
/// Silence after which an entry without a record is no longer reckoned with.
/// Records of entries that are cut off are removed after 12 s.
constexpr Millis kForget{ 60'000 };
/// Part of the limit that is shared equally, so that an entry that has had no
/// demand yet can begin.
constexpr double kFloorPart = 0.08;
/// Peak demand in multiples of the limit, and the usual one.
constexpr double kUsual = 1 / 1.6;
constexpr double kSurge = 7.5 * kUsual;
/// The same in multiples of the reported demand, for accounts whose demand is
/// above their limit all the time, as after the limit was lowered.
constexpr double kGrowth = 1.2;
/// Parts of the permitted excess that buckets hold on top of the burst. The
/// rest covers shares whose sum is above one while figures spread.
constexpr double kOverPart = 0.7;
constexpr double kSlackPart = 0.7;
/// Part of the limit that debts of all entries come to at most. A surge that
/// is admitted until figures have spread costs less than half of the limit.
constexpr double kDebtPart = 0.6;
/// Parts of the permitted excess that admission without tokens leaves unused.
/// With 0.2 of the slack, buckets of less than one request at 60 entries
/// exceeded the bound of an account of 10 a second by two requests.
constexpr double kOverMargin = 0.4;
constexpr double kSlackMargin = 0.35;
/// Part of the slack up to which an account is admitted without tokens.
constexpr double kSlackUse = 0.4;
/// Part of the limit up to which tokens always help: a tenth above the usual
/// demand.
constexpr double kSurePart = 1.1 * kUsual;
constexpr double kFirstFill = 0.3;
/// Time from the making of a report until it is taken in, on a slow host; that
/// of a region passes two more hosts and a link of 55 ms.
constexpr Millis kTransit{ 50 };
constexpr Millis kFarTransit{ 150 };
/// The others' reports of an account are summed up anew after this time.
constexpr Millis kViewAge{ 20 };
constexpr Millis kMinCounted{ 200 };
constexpr Millis kMinRetry{ 100 };

std::int64_t SlotOf(const AccountLimits& aLimits, TimePoint aNow) noexcept
{
  const auto window = std::chrono::nanoseconds(aLimits.mBounds.mWindow).count();
  const auto length =
    std::max<std::int64_t>(1, window / static_cast<int>(kWindowSlots));
  return std::chrono::nanoseconds(aNow.time_since_epoch()).count() / length;
}

std::size_t IndexOf(std::int64_t aSlot) noexcept
{
  return static_cast<std::size_t>(aSlot) % (kWindowSlots + 1);
}

/// @returns the present slot; those that have passed since are emptied
RequestWindow::Slot& PresentSlot(RequestWindow& aWindow,
                                 std::int64_t aSlot) noexcept
{
  const auto first = std::max(aWindow.mLatest + 1, aSlot - kAllSlots);
  for (auto k = first; k <= aSlot; ++k) {
    aWindow.mSlots[IndexOf(k)] = {};
  }
  aWindow.mLatest = std::max(aWindow.mLatest, aSlot);
  return aWindow.mSlots[IndexOf(aWindow.mLatest)];
}

AccountFigures FiguresAt(const RequestWindow& aWindow,
                         std::int64_t aSlot) noexcept
{
  AccountFigures out;
  for (auto k = aSlot - kAllSlots; k <= aWindow.mLatest; ++k) {
    const auto& slot = aWindow.mSlots[IndexOf(k)];
    out.mAdmitted += slot.mAdmitted;
    out.mAsked += k >= aSlot - kDemandSlots ? slot.mAsked : 0;
  }
  return out;
}

/// @returns true where requests came within the last few slots
bool IsActive(const RequestWindow& aWindow, std::int64_t aSlot) noexcept
{
  for (auto k = aSlot - kTellSlots; k <= aWindow.mLatest; ++k) {
    if (aWindow.mSlots[IndexOf(k)].mAsked > 0) {
      return true;
    }
  }
  return false;
}

double SecondsOf(Millis aTime) noexcept
{
  return SecondsF(aTime).count();
}

/// @returns the most requests that others may have admitted since they reported
double Unseen(const AccountUse& aUse, TimePoint aNow)
{
  const auto age = aUse.mOthers.mAge + SecondsF(aNow - aUse.mOthersAt);
  return age.count() * std::max(kSurge * aUse.mLimit.mPerSecond,
                                kGrowth * aUse.mOthers.mAsked);
}

/// @returns requests in a window that the limit names
double Nominal(const AccountLimits& aLimits, const AccountLimit& aLimit)
{
  return aLimit.mPerSecond * SecondsOf(aLimits.mBounds.mWindow) + aLimit.mBurst;
}

/// @returns requests of the window that were admitted before a start, as far as
///          the present demand tells
double BeforeStart(const AccountLimits& aLimits, const AccountUse& aUse)
{
  const double rate =
    std::max(kUsual * aUse.mLimit.mPerSecond, aUse.mOthers.mAsked);
  return std::min(Nominal(aLimits, aUse.mLimit),
                  rate * SecondsOf(aLimits.mBounds.mWindow) *
                    aUse.mOthers.mUncounted);
}

/// @returns requests that an account may have admitted in a window, all entries
///          together, while it needs no tokens
double FreeBelow(const AccountLimits& aLimits, const AccountUse& aUse,
                 TimePoint aNow)
{
  const auto& bounds = aLimits.mBounds;
  const double nominal = Nominal(aLimits, aUse.mLimit);
  const double most = nominal * (1 + bounds.mOver * (1 - kOverMargin)) +
                      bounds.mSlack * (1 - kSlackMargin);
  return std::min(most * (1 - aUse.mOthers.mReserved) - Unseen(aUse, aNow),
                  nominal + bounds.mSlack * kSlackUse);
}

double CountEntries(const AccountLimits& aLimits)
{
  double out = 1;
  for (const auto* peers : { &aLimits.mPeers, &aLimits.mRegions }) {
    for (const auto& [name, peer] : *peers) {
      out += peer.mEntries;
    }
  }
  return out;
}

bool IsHeard(const AccountPeer& aPeer, TimePoint aNow)
{
  return aPeer.mMade && aNow - *aPeer.mMade <= kSilence;
}

double DepthOf(const AccountLimits& aLimits, const AccountUse& aUse)
{
  const auto& bounds = aLimits.mBounds;
  const double extra =
    Nominal(aLimits, aUse.mLimit) * bounds.mOver * kOverPart +
    bounds.mSlack * kSlackPart;
  return aUse.mOthers.mShare * aUse.mLimit.mBurst +
         extra / CountEntries(aLimits);
}

/// Buckets of at least one request each come to more than a small account's
/// burst where entries are many, so that tokens do not help without end.
/// @returns requests in a window from which on tokens do not help
double RefusedFrom(const AccountLimits& aLimits, const AccountUse& aUse,
                   TimePoint aNow)
{
  const auto& bounds = aLimits.mBounds;
  const double nominal = Nominal(aLimits, aUse.mLimit);
  // Requests under a higher limit do not count against a lower one; the
  // buckets alone hold it until they have left the window.
  if (aUse.mLowered != TimePoint{} && aNow - aUse.mLowered < bounds.mWindow) {
    return HUGE_VAL;
  }
  const double most = nominal * (1 + bounds.mOver * (1 - kOverMargin)) +
                      bounds.mSlack * (1 - kSlackMargin) - Unseen(aUse, aNow);
  const double aim =
    nominal * (1 + bounds.mOver * kOverMargin) + bounds.mSlack / 4;
  // Buckets of less than one request admit one each nevertheless.
  const double entries = CountEntries(aLimits);
  const double rounding = std::max(0.0, 1 - DepthOf(aLimits, aUse)) * entries;
  const double least = nominal - std::min(rounding, nominal * (1 - kSurePart));
  return std::clamp(most, least, std::max(nominal, aim)) *
         (1 - aUse.mOthers.mReserved);
}

/// Sums up the others' reports anew and fills the bucket.
void Refresh(const AccountLimits& aLimits, const std::string& aAccount,
             AccountUse& aUse, TimePoint aNow)
{
  const bool first = aUse.mFilled == TimePoint{};
  if (!first) {
    const double seconds = std::max(0.0, SecondsF(aNow - aUse.mFilled).count());
    aUse.mTokens += seconds * aUse.mOthers.mShare * aUse.mLimit.mPerSecond;
  }
  if (first || aNow - aUse.mOthersAt >= kViewAge) {
    aUse.mOthers = ViewOthers(aLimits, aAccount, aNow);
    aUse.mOthersAt = aNow;
  }
  const double depth = DepthOf(aLimits, aUse);
  const double debt =
    1 + aUse.mOthers.mShare * kDebtPart * Nominal(aLimits, aUse.mLimit);
  aUse.mTokens =
    first ? depth * kFirstFill : std::clamp(aUse.mTokens, -debt, depth);
  aUse.mFilled = aNow;
}

/// @returns how long until so many requests have left the window
double LeaveAfter(const AccountLimits& aLimits, double aExcess, double aCount)
{
  return SecondsOf(aLimits.mBounds.mWindow) * aExcess / std::max(1.0, aCount);
}

void Hear(AccountPeer& aPeer, const AccountReport& aReport, TimePoint aMade)
{
  aPeer.mEntries = std::max(1.0, aReport.mEntries);
  aPeer.mMade = aMade;
  aPeer.mSince = aMade - aReport.mCounted;
  for (const auto& it : aReport.mItems) {
    aPeer.mFigures[it.mAccount] = { it.mFigures, aMade };
  }
}

/// @returns what is left of reported requests. None are taken to have left the
///          window while reports come: they may all be recent.
double LeftOf(const AccountLimits& aLimits, const HeardFigures& aHeard,
              TimePoint aNow)
{
  const double age = SecondsF(aNow - aHeard.mMade - kSilence).count() /
                     SecondsOf(aLimits.mBounds.mWindow);
  return static_cast<double>(aHeard.mFigures.mAdmitted) *
         std::clamp(1 - age, 0.0, 1.0);
}

/// @returns the part of a window in which an entry has not counted yet
double UncountedPart(const AccountLimits& aLimits, Clock::duration aCounted)
{
  const double part =
    SecondsF(aCounted).count() / SecondsOf(aLimits.mBounds.mWindow);
  return std::clamp(1 - part, 0.0, 1.0);
}

/// @returns how long an entry has counted requests, a window at most
Millis CountedAt(const AccountLimits& aLimits, TimePoint aSince, TimePoint aNow)
{
  return std::clamp(std::chrono::duration_cast<Millis>(aNow - aSince),
                    Millis(0), aLimits.mBounds.mWindow);
}

/// Leaves the accounts with the largest demand, as many as a report may carry.
void KeepLargest(std::vector<AccountReport::Item>& aItems)
{
  if (aItems.size() <= kMaxItems) {
    return;
  }
  std::nth_element(
    aItems.begin(), aItems.begin() + kMaxItems, aItems.end(),
    [](const AccountReport::Item& a, const AccountReport::Item& b) {
      return a.mFigures.mAsked > b.mFigures.mAsked;
    });
  aItems.resize(kMaxItems);
}

void ForgetFigures(AccountLimits& aLimits, const std::string& aAccount)
{
  for (auto* peers : { &aLimits.mPeers, &aLimits.mRegions }) {
    for (auto& [name, peer] : *peers) {
      peer.mFigures.erase(aAccount);
    }
  }
}

} // namespace

bool SetAccountLimit(AccountLimits& aLimits, const std::string& aAccount,
                     const AccountLimit& aLimit, TimePoint aNow)
{
  const auto it = aLimits.mAccounts.find(aAccount);
  const bool had = it != aLimits.mAccounts.end();
  if (aLimit.mPerSecond <= 0) {
    if (had) {
      aLimits.mAccounts.erase(it);
      ForgetFigures(aLimits, aAccount);
    }
    return had;
  }
  if (!had) {
    auto& use = aLimits.mAccounts[aAccount];
    use.mLimit = aLimit;
    use.mKnownSince = aNow;
    return true;
  }
  auto& use = it->second;
  if (use.mLimit == aLimit) {
    return false;
  }
  // The bucket keeps its state as a part of the limit: a debt under a high
  // limit would else take very long to repay under a low one.
  const double before = Nominal(aLimits, use.mLimit);
  const double after = Nominal(aLimits, aLimit);
  if (use.mFilled != TimePoint{}) {
    Refresh(aLimits, aAccount, use, aNow);
    use.mTokens *= after / before;
  }
  use.mLowered = after < before ? aNow : use.mLowered;
  use.mLimit = aLimit;
  return true;
}

void ExpectPeers(AccountLimits& aLimits, const std::set<std::string>& aServing,
                 const std::set<std::string>& aIdle,
                 const std::map<std::string, std::size_t>& aRegions,
                 TimePoint aNow)
{
  if (aLimits.mStarted == TimePoint{}) {
    aLimits.mStarted = aNow;
  }
  for (const auto& it : aServing) {
    const auto [peer, added] = aLimits.mPeers.try_emplace(it);
    peer->second.mAdded = added ? aNow : peer->second.mAdded;
  }
  for (const auto& [name, entries] : aRegions) {
    const auto [region, added] = aLimits.mRegions.try_emplace(name);
    region->second.mAdded = added ? aNow : region->second.mAdded;
    if (!region->second.mMade) {
      region->second.mEntries = static_cast<double>(entries);
    }
  }
  const auto lapsed = [&](const AccountPeer& a) {
    return aNow - a.mMade.value_or(a.mAdded) > kForget;
  };
  std::erase_if(aLimits.mPeers, [&](const auto& a) {
    return aServing.count(a.first) == 0 &&
           (lapsed(a.second) ||
            (aIdle.count(a.first) > 0 && !IsHeard(a.second, aNow)));
  });
  std::erase_if(aLimits.mRegions, [&](const auto& a) {
    return aRegions.count(a.first) == 0 &&
           (!a.second.mMade || lapsed(a.second));
  });
}

void HearEntry(AccountLimits& aLimits, const std::string& aEntry,
               const AccountReport& aReport, TimePoint aNow)
{
  Hear(aLimits.mPeers[aEntry], aReport, aNow - aReport.mAge - kTransit);
}

void HearRegion(AccountLimits& aLimits, const std::string& aRegion,
                const AccountReport& aReport, TimePoint aNow)
{
  Hear(aLimits.mRegions[aRegion], aReport, aNow - aReport.mAge - kFarTransit);
}

AccountReport TellEntry(AccountLimits& aLimits, TimePoint aNow)
{
  const auto slot = SlotOf(aLimits, aNow);
  AccountReport out;
  out.mCounted = CountedAt(aLimits, aLimits.mStarted, aNow);
  for (auto& [name, use] : aLimits.mAccounts) {
    const auto figures = FiguresAt(use.mOwn, slot);
    const bool some = figures.mAsked + figures.mAdmitted + use.mTold.mAsked +
                        use.mTold.mAdmitted >
                      0;
    if (IsActive(use.mOwn, slot) || (some && aNow - use.mToldAt >= kRetell)) {
      out.mItems.push_back({ name, figures });
    }
  }
  KeepLargest(out.mItems);
  for (const auto& it : out.mItems) {
    auto& use = aLimits.mAccounts[it.mAccount];
    use.mTold = it.mFigures;
    use.mToldAt = aNow;
  }
  return out;
}

AccountReport TellRegion(const AccountLimits& aLimits, TimePoint aNow)
{
  AccountReport out;
  SecondsF age{ 0 };
  SecondsF counted = CountedAt(aLimits, aLimits.mStarted, aNow);
  for (const auto& [name, peer] : aLimits.mPeers) {
    if (IsHeard(peer, aNow)) {
      out.mEntries += 1;
      age += aNow - *peer.mMade;
      counted += CountedAt(aLimits, peer.mSince, aNow);
    }
  }
  out.mCounted = std::chrono::duration_cast<Millis>(counted / out.mEntries);
  out.mAge = std::chrono::duration_cast<Millis>(age / out.mEntries);
  const auto slot = SlotOf(aLimits, aNow);
  for (const auto& [account, use] : aLimits.mAccounts) {
    auto sum = FiguresAt(use.mOwn, slot);
    double admitted = 0;
    for (const auto& [name, peer] : aLimits.mPeers) {
      const auto it = peer.mFigures.find(account);
      if (it != peer.mFigures.end()) {
        admitted += LeftOf(aLimits, it->second, aNow);
        sum.mAsked += IsHeard(peer, aNow) ? it->second.mFigures.mAsked : 0;
      }
    }
    sum.mAdmitted += static_cast<std::uint64_t>(std::llround(admitted));
    if (sum.mAsked + sum.mAdmitted > 0) {
      out.mItems.push_back({ account, sum });
    }
  }
  KeepLargest(out.mItems);
  return out;
}

bool SpeaksForRegion(const AccountLimits& aLimits, const std::string& aSelf,
                     TimePoint aNow)
{
  return std::none_of(aLimits.mPeers.begin(), aLimits.mPeers.end(),
                      [&](const auto& a) {
                        return a.first < aSelf && a.second.mMade &&
                               aNow - *a.second.mMade <= kSpeakerSilence;
                      });
}

OthersView ViewOthers(const AccountLimits& aLimits, const std::string& aAccount,
                      TimePoint aNow)
{
  struct Weighed
  {
    double mAsked = 0;
    double mEntries = 0;
    SecondsF mAge{ 0 };
    Clock::duration mCounted{ 0 };
  };
  const auto use = aLimits.mAccounts.find(aAccount);
  // The own demand as the others know it: else, while demand rises at all
  // entries, each would take a part of the limit that others still use.
  const double own = use == aLimits.mAccounts.end()
                       ? 0
                       : static_cast<double>(use->second.mTold.mAsked);
  OthersView out;
  const auto counted = use == aLimits.mAccounts.end()
                         ? Clock::duration(0)
                         : aNow - use->second.mKnownSince;
  std::vector<Weighed> heard;
  double asked = own;
  double entries = 1;
  for (const auto* peers : { &aLimits.mPeers, &aLimits.mRegions }) {
    for (const auto& [name, peer] : *peers) {
      const auto it = peer.mFigures.find(aAccount);
      const bool known = it != peer.mFigures.end();
      out.mAdmitted += known ? LeftOf(aLimits, it->second, aNow) : 0;
      if (IsHeard(peer, aNow)) {
        heard.push_back(
          { known ? static_cast<double>(it->second.mFigures.mAsked) : 0,
            peer.mEntries, aNow - *peer.mMade, aNow - peer.mSince });
        asked += heard.back().mAsked;
        entries += peer.mEntries;
      }
    }
  }
  const double part = entries / CountEntries(aLimits);
  const auto share = [&](double aAsked, double aEntries) {
    const double equal = aEntries / entries;
    return part * (asked > 0
                     ? (1 - kFloorPart) * aAsked / asked + kFloorPart * equal
                     : equal);
  };
  out.mShare = share(own, 1);
  // Right after a start only a part of the time has been counted.
  const SecondsF longest = aLimits.mBounds.mWindow *
                           static_cast<double>(kDemandSlots) /
                           static_cast<double>(kAllSlots);
  out.mAsked =
    asked /
    std::clamp(SecondsF(counted), SecondsF(kMinCounted), longest).count();
  out.mUncounted = out.mShare * UncountedPart(aLimits, counted);
  out.mReserved = 1 - part;
  for (const auto& it : heard) {
    const double weight = share(it.mAsked, it.mEntries);
    out.mAge += weight * it.mAge;
    out.mUncounted += weight * UncountedPart(aLimits, it.mCounted);
  }
  return out;
}

AccountFigures OwnFigures(const AccountLimits& aLimits, const AccountUse& aUse,
                          TimePoint aNow) noexcept
{
  return FiguresAt(aUse.mOwn, SlotOf(aLimits, aNow));
}

std::optional<Millis> TakeRequest(AccountLimits& aLimits,
                                  const std::string& aAccount, TimePoint aNow)
{
  const auto it = aLimits.mAccounts.find(aAccount);
  if (it == aLimits.mAccounts.end()) {
    return std::nullopt;
  }
  auto& use = it->second;
  Refresh(aLimits, aAccount, use, aNow);
  const auto number = SlotOf(aLimits, aNow);
  auto& slot = PresentSlot(use.mOwn, number);
  ++slot.mAsked;
  const double count =
    static_cast<double>(FiguresAt(use.mOwn, number).mAdmitted) +
    use.mOthers.mAdmitted + BeforeStart(aLimits, use);
  const double free = FreeBelow(aLimits, use, aNow);
  const double refused = RefusedFrom(aLimits, use, aNow);
  // Where a part of a request is all that the bucket holds, a full bucket
  // admits one and then repays it.
  const double needed = std::min(1.0, DepthOf(aLimits, use));
  const bool paid = use.mTokens >= needed;
  if (count < free || (paid && count < refused)) {
    use.mTokens -= 1;
    ++slot.mAdmitted;
    return std::nullopt;
  }
  ++use.mRefused;
  const double filled = paid ? LeaveAfter(aLimits, count + 1 - refused, count)
                             : (needed - use.mTokens) /
                                 (use.mOthers.mShare * use.mLimit.mPerSecond);
  const double wait =
    std::min(filled, LeaveAfter(aLimits, count + 1 - free, count));
  const std::chrono::duration<double, std::milli> millis(SecondsF{ wait });
  return std::clamp(std::chrono::ceil<Millis>(millis), kMinRetry,
                    aLimits.mBounds.mWindow);
}

void GiveBack(AccountLimits& aLimits, const std::string& aAccount,
              TimePoint aNow)
{
  const auto it = aLimits.mAccounts.find(aAccount);
  if (it == aLimits.mAccounts.end()) {
    return;
  }
  auto& use = it->second;
  Refresh(aLimits, aAccount, use, aNow);
  use.mTokens = std::min(use.mTokens + 1, DepthOf(aLimits, use));
  // The request was counted in this slot or a recent one.
  const auto number = SlotOf(aLimits, aNow);
  PresentSlot(use.mOwn, number);
  for (auto k = number; k >= number - kAllSlots; --k) {
    auto& slot = use.mOwn.mSlots[IndexOf(k)];
    if (slot.mAdmitted > 0) {
      --slot.mAdmitted;
      return;
    }
  }
}

} // namespace guavaline
