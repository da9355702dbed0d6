#include <guavaline/admission/slots.hpp>

#include <guavaline/core/hash.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace guavaline {
namespace {

constexpr double kPercent = 100;
// Time for a target to see that a borrower closed a connection.
constexpr Millis kReclaimMargin{ 500 };
// Loans outlast the longest deadline, so that any request fits into one.
constexpr int kDeadlinesPerLoan = 2;

struct Owners
{
  std::vector<std::size_t> mLocal;  ///< Entries of the region.
  std::vector<std::size_t> mRemote; ///< All others.
};

Owners OwnersFor(const Configuration& aConfiguration,
                 const std::string& aRegion)
{
  Owners out;
  for (std::size_t n = 0; n < aConfiguration.mEntries.size(); ++n) {
    const bool local = aConfiguration.mEntries[n].mRegion == aRegion;
    (local ? out.mLocal : out.mRemote).push_back(n);
  }
  return out;
}

std::size_t LocalPart(const Configuration& aConfiguration,
                      const Owners& aOwners, std::size_t aSlots)
{
  if (aOwners.mLocal.empty()) {
    return 0;
  }
  if (aOwners.mRemote.empty()) {
    return aSlots;
  }
  const auto part =
    static_cast<double>(aSlots) * aConfiguration.mLocalSlotPercent / kPercent;
  return static_cast<std::size_t>(std::ceil(part));
}

/// Lists a region's slots with one slot of each target before the second.
std::vector<std::uint32_t> ListSlots(const Service& aService,
                                     const std::string& aRegion)
{
  std::vector<std::uint32_t> out;
  std::uint32_t layer = 0;
  bool more = true;
  while (more) {
    more = false;
    for (std::uint32_t n = 0; n < aService.mTargets.size(); ++n) {
      const auto& it = aService.mTargets[n];
      if (it.mRegion == aRegion && it.mSlots > layer) {
        out.push_back(n);
        more = true;
      }
    }
    ++layer;
  }
  return out;
}

void DealRegion(const Configuration& aConfiguration, const Service& aService,
                const std::string& aRegion, std::size_t aEntry,
                OwnedSlots& aOut)
{
  const auto slots = ListSlots(aService, aRegion);
  const auto owners = OwnersFor(aConfiguration, aRegion);
  const auto local = LocalPart(aConfiguration, owners, slots.size());
  const auto offset = Hash(aService.mName);
  for (std::size_t n = 0; n < slots.size(); ++n) {
    const auto& group = n < local ? owners.mLocal : owners.mRemote;
    if (!group.empty() && group[(n + offset) % group.size()] == aEntry) {
      ++aOut[slots[n]];
    }
  }
}

std::uint32_t CountFor(const std::vector<Loan>& aLoans, std::uint32_t aTarget,
                       TimePoint aUntil) noexcept
{
  const auto n =
    std::count_if(aLoans.begin(), aLoans.end(), [&](const Loan& a) {
      return a.mTarget == aTarget && a.mExpiry >= aUntil;
    });
  return static_cast<std::uint32_t>(n);
}

void Renumber(std::vector<Loan>& aLoans, const std::vector<int>& aRenumbered)
{
  std::vector<Loan> out;
  for (auto& it : aLoans) {
    const auto at = std::find(aRenumbered.begin(), aRenumbered.end(),
                              static_cast<int>(it.mTarget));
    if (at != aRenumbered.end()) {
      it.mTarget = static_cast<std::uint32_t>(at - aRenumbered.begin());
      out.push_back(std::move(it));
    }
  }
  aLoans = std::move(out);
}

/// @returns owned slots of a target that are idle and not lent
std::uint32_t IdleOwned(const SlotTable& aTable, std::uint32_t aTarget,
                        TimePoint aNow) noexcept
{
  if (aNow < aTable.mUsableFrom) {
    return 0;
  }
  const auto bound =
    CountFor(aTable.mLent, aTarget, aNow) + aTable.mInUse[aTarget];
  const auto owned = aTable.mUsableOwned[aTarget];
  return owned > bound ? owned - bound : 0;
}

} // namespace

OwnedSlots AssignSlots(const Configuration& aConfiguration,
                       const Service& aService, const std::string& aEntry)
{
  OwnedSlots out(aService.mTargets.size(), 0);
  const auto* entry = FindEntry(aConfiguration, aEntry);
  if (entry == nullptr) {
    return out;
  }
  const auto index =
    static_cast<std::size_t>(entry - aConfiguration.mEntries.data());
  for (const auto& it : aConfiguration.mRegions) {
    DealRegion(aConfiguration, aService, it.mName, index, out);
  }
  return out;
}

SlotTable MakeSlotTable(OwnedSlots aOwned, TimePoint aUsableFrom)
{
  SlotTable out;
  out.mInUse.assign(aOwned.size(), 0);
  out.mUsage.assign(aOwned.size(), 0);
  out.mUsableOwned = aOwned;
  out.mOwned = std::move(aOwned);
  out.mUsableFrom = aUsableFrom;
  return out;
}

void ReassignOwned(SlotTable& aTable, OwnedSlots aOwned,
                   const std::vector<int>& aRenumbered)
{
  const auto carry = [&](const std::vector<std::uint32_t>& aOld) {
    std::vector<std::uint32_t> out(aOwned.size(), 0);
    for (std::size_t n = 0; n < out.size(); ++n) {
      if (aRenumbered[n] >= 0) {
        out[n] = aOld[static_cast<std::size_t>(aRenumbered[n])];
      }
    }
    return out;
  };
  aTable.mInUse = carry(aTable.mInUse);
  aTable.mUsage = carry(aTable.mUsage);
  aTable.mUsableOwned = carry(aTable.mUsableOwned);
  Renumber(aTable.mLent, aRenumbered);
  Renumber(aTable.mBorrowed, aRenumbered);
  for (std::size_t n = 0; n < aOwned.size(); ++n) {
    aTable.mUsableOwned[n] = std::min(aTable.mUsableOwned[n], aOwned[n]);
  }
  aTable.mOwned = std::move(aOwned);
}

void SettleOwned(SlotTable& aTable) noexcept
{
  aTable.mUsableOwned = aTable.mOwned;
}

std::uint32_t UsableSlots(const SlotTable& aTable, std::uint32_t aTarget,
                          TimePoint aNow, TimePoint aUntil) noexcept
{
  const auto owned =
    aNow < aTable.mUsableFrom ? 0 : aTable.mUsableOwned[aTarget];
  const auto lent = CountFor(aTable.mLent, aTarget, aNow);
  const auto borrowed = CountFor(aTable.mBorrowed, aTarget, aUntil);
  return (owned > lent ? owned - lent : 0) + borrowed;
}

std::uint32_t FreeSlots(const SlotTable& aTable, std::uint32_t aTarget,
                        TimePoint aNow, TimePoint aUntil) noexcept
{
  const auto usable = UsableSlots(aTable, aTarget, aNow, aUntil);
  const auto used = aTable.mInUse[aTarget];
  return usable > used ? usable - used : 0;
}

bool TakeSlot(SlotTable& aTable, std::uint32_t aTarget, TimePoint aNow,
              TimePoint aUntil) noexcept
{
  if (FreeSlots(aTable, aTarget, aNow, aUntil) == 0) {
    return false;
  }
  ++aTable.mInUse[aTarget];
  ++aTable.mUsage[aTarget];
  return true;
}

void ReleaseSlot(SlotTable& aTable, std::uint32_t aTarget) noexcept
{
  --aTable.mInUse[aTarget];
}

std::vector<Loan> Lend(SlotTable& aTable, const Service& aService,
                       const LendQuery& aQuery, TimePoint aNow)
{
  std::vector<std::uint32_t> targets;
  std::uint32_t total = 0;
  for (std::uint32_t n = 0; n < aService.mTargets.size(); ++n) {
    const bool excluded =
      std::find(aQuery.mExcluded.begin(), aQuery.mExcluded.end(), n) !=
      aQuery.mExcluded.end();
    if (aService.mTargets[n].mRegion == aQuery.mRegion && !excluded) {
      targets.push_back(n);
      total += IdleOwned(aTable, n, aNow);
    }
  }
  const auto spare = total > aQuery.mKeep ? total - aQuery.mKeep : 0;
  const std::size_t count = std::min(spare, aQuery.mWant);
  const auto expiry = aNow + aQuery.mTerm + kReclaimMargin;
  std::vector<Loan> out;
  for (const auto it : targets) {
    while (out.size() < count && IdleOwned(aTable, it, aNow) > 0) {
      out.push_back({ aTable.mNextLoan++, aQuery.mPeer, it, expiry });
      aTable.mLent.push_back(out.back());
    }
  }
  return out;
}

void Borrow(SlotTable& aTable, Loan aLoan, TimePoint aAskedAt, Millis aTerm)
{
  if (aLoan.mTarget >= aTable.mOwned.size()) {
    return;
  }
  aLoan.mExpiry = aAskedAt + aTerm;
  aTable.mBorrowed.push_back(std::move(aLoan));
}

void ExpireLoans(SlotTable& aTable, TimePoint aNow)
{
  const auto ended = [aNow](const Loan& a) { return a.mExpiry <= aNow; };
  std::erase_if(aTable.mLent, ended);
  std::erase_if(aTable.mBorrowed, ended);
}

bool EndLent(SlotTable& aTable, std::uint64_t aId, const std::string& aPeer)
{
  return std::erase_if(aTable.mLent, [&](const Loan& a) {
           return a.mId == aId && a.mPeer == aPeer;
         }) > 0;
}

std::vector<Loan> TakeIdleBorrowed(SlotTable& aTable, TimePoint aNow,
                                   const LoanFilter& aFilter)
{
  std::vector<Loan> out;
  auto& loans = aTable.mBorrowed;
  for (auto it = loans.begin(); it != loans.end();) {
    const bool idle =
      UsableSlots(aTable, it->mTarget, aNow, aNow) > aTable.mInUse[it->mTarget];
    if (idle && aFilter(*it)) {
      out.push_back(std::move(*it));
      it = loans.erase(it);
    } else {
      ++it;
    }
  }
  return out;
}

std::vector<Loan> RecallBorrowed(SlotTable& aTable, const std::string& aLender,
                                 TimePoint aNow)
{
  const auto from = [&](const Loan& a) { return a.mPeer == aLender; };
  (void)TakeIdleBorrowed(aTable, aNow, from);
  std::vector<Loan> out;
  std::copy_if(aTable.mBorrowed.begin(), aTable.mBorrowed.end(),
               std::back_inserter(out), from);
  return out;
}

void RestoreLent(SlotTable& aTable, Loan aLoan, TimePoint aNow, Millis aLeft)
{
  aLoan.mExpiry = aNow + aLeft + kReclaimMargin;
  aTable.mNextLoan = std::max(aTable.mNextLoan, aLoan.mId + 1);
  aTable.mLent.push_back(std::move(aLoan));
}

Millis LoanTerm(const Service& aService) noexcept
{
  Millis longest{ 1'000 };
  for (const auto& it : aService.mClasses) {
    longest = std::max(longest, it.mDeadline);
  }
  return longest * kDeadlinesPerLoan;
}

} // namespace guavaline
