#pragma once

/// Limits on work in flight. Each slot of each target is owned by one entry,
/// worked out from the configuration alone, so that entries that cannot reach
/// each other or the store still never pass a target's or a region's slots
/// together. Idle slots move between entries as loans that end by themselves.

#include <guavaline/configuration/model.hpp>
#include <guavaline/core/time.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace guavaline {

/// Slots of each target of one service that one entry owns, by target index.
using OwnedSlots = std::vector<std::uint32_t>;

/// Deals the slots of a service's targets to the configured entries. Entries
/// of a target's region together hold the local part, all others the rest.
/// @param aConfiguration  the accepted configuration
/// @param aService        one of its services
/// @param aEntry          name of the entry
/// @returns the entry's slots; over all entries they add up to each target's
///          slots exactly
[[nodiscard]] OwnedSlots AssignSlots(const Configuration& aConfiguration,
                                     const Service& aService,
                                     const std::string& aEntry);

/// One slot lent or borrowed until a time.
struct Loan
{
  std::uint64_t mId = 0;
  std::string mPeer;         ///< The other entry.
  std::uint32_t mTarget = 0; ///< Index into the service's targets.
  TimePoint mExpiry;
};

/// Slots of one service as one entry sees them.
struct SlotTable
{
  OwnedSlots mOwned;                 ///< Owned by the newest configuration.
  OwnedSlots mUsableOwned;           ///< Owned and free of earlier owners.
  std::vector<std::uint32_t> mInUse; ///< In flight, by target.
  std::vector<std::uint32_t> mUsage; ///< Granted since the last report.
  std::vector<Loan> mLent;
  std::vector<Loan> mBorrowed;
  TimePoint mUsableFrom; ///< Owned slots rest until then.
  std::uint64_t mNextLoan = 1;
};

/// Starts a table for a service.
/// @param aOwned       result of AssignSlots
/// @param aUsableFrom  when work of an earlier owner has ended
[[nodiscard]] SlotTable MakeSlotTable(OwnedSlots aOwned, TimePoint aUsableFrom);

/// Takes over a new assignment: shrinks at once; what is new becomes usable
/// with SettleOwned.
/// @param aRenumbered  for each new target index the old one, or -1
void ReassignOwned(SlotTable& aTable, OwnedSlots aOwned,
                   const std::vector<int>& aRenumbered);

/// Makes all owned slots usable, once every earlier owner has given way.
void SettleOwned(SlotTable& aTable) noexcept;

/// @returns slots of a target that may be in flight at a time
/// @param aUntil  loans must last at least until then
[[nodiscard]] std::uint32_t UsableSlots(const SlotTable& aTable,
                                        std::uint32_t aTarget, TimePoint aNow,
                                        TimePoint aUntil) noexcept;

/// @returns slots of a target that are free for work that ends by aUntil
[[nodiscard]] std::uint32_t FreeSlots(const SlotTable& aTable,
                                      std::uint32_t aTarget, TimePoint aNow,
                                      TimePoint aUntil) noexcept;

/// Takes a slot for work that ends by aUntil.
/// @returns false where none is free
[[nodiscard]] bool TakeSlot(SlotTable& aTable, std::uint32_t aTarget,
                            TimePoint aNow, TimePoint aUntil) noexcept;

/// Gives a slot back.
void ReleaseSlot(SlotTable& aTable, std::uint32_t aTarget) noexcept;

/// What a borrower asks for.
struct LendQuery
{
  std::string mPeer;   ///< The borrower.
  std::string mRegion; ///< Region whose slots are wanted.
  std::uint32_t mWant = 0;
  std::uint32_t mKeep = 0; ///< Idle slots of the region that stay here.
  Millis mTerm{ 0 };       ///< How long the loans last.
  /// Targets whose slots are of no use to the borrower, by index.
  std::vector<std::uint32_t> mExcluded;
};

/// Lends idle owned slots to another entry; borrowed ones are not lent on.
/// @returns one loan for each slot
[[nodiscard]] std::vector<Loan> Lend(SlotTable& aTable, const Service& aService,
                                     const LendQuery& aQuery, TimePoint aNow);

/// Notes a loan received.
/// @param aAskedAt  when the request for it was sent; the term counts from
///                  then, so that it ends here before it ends at the lender
void Borrow(SlotTable& aTable, Loan aLoan, TimePoint aAskedAt, Millis aTerm);

/// Drops loans that ended.
void ExpireLoans(SlotTable& aTable, TimePoint aNow);

/// Ends a loan that this entry gave.
/// @returns false where it is not known or belongs to another entry
bool EndLent(SlotTable& aTable, std::uint64_t aId, const std::string& aPeer);

/// Selects loans.
using LoanFilter = std::function<bool(const Loan&)>;

/// Takes out borrowed loans that are idle and selected, to be given back.
[[nodiscard]] std::vector<Loan> TakeIdleBorrowed(SlotTable& aTable,
                                                 TimePoint aNow,
                                                 const LoanFilter& aFilter);

/// Ends the borrowed loans of a lender that has started anew, as far as they
/// are idle.
/// @returns the loans that are still in use; they end by themselves
[[nodiscard]] std::vector<Loan> RecallBorrowed(SlotTable& aTable,
                                               const std::string& aLender,
                                               TimePoint aNow);

/// Notes a loan that an earlier life of this entry gave.
/// @param aLeft  time until it ends at the borrower
void RestoreLent(SlotTable& aTable, Loan aLoan, TimePoint aNow, Millis aLeft);

/// @returns the longest time that a loan of a service may last
[[nodiscard]] Millis LoanTerm(const Service& aService) noexcept;

} // namespace guavaline
