#include <guavaline/admission/slots.hpp>

#include "fixtures.hpp"

#include <criterion/criterion.h>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };

std::uint32_t Sum(const OwnedSlots& aSlots)
{
  std::uint32_t n = 0;
  for (const auto it : aSlots) {
    n += it;
  }
  return n;
}

} // namespace

Test(slots, assignment_adds_up_to_each_targets_slots)
{
  for (const auto* name : { "merrimack", "tussock" }) {
    const auto configuration = tests::Example(name);
    for (const auto& service : configuration.mServices) {
      OwnedSlots all(service.mTargets.size(), 0);
      for (const auto& entry : configuration.mEntries) {
        const auto owned = AssignSlots(configuration, service, entry.mName);
        for (std::size_t n = 0; n < all.size(); ++n) {
          all[n] += owned[n];
        }
      }
      for (std::size_t n = 0; n < all.size(); ++n) {
        cr_assert_eq(all[n], service.mTargets[n].mSlots, "%s",
                     service.mTargets[n].mName.c_str());
      }
    }
  }
}

Test(slots, assignment_is_even_between_entries_of_a_region)
{
  const auto configuration = tests::Example("tussock");
  const auto& service = configuration.mServices[0];
  for (const auto& entry : configuration.mEntries) {
    const auto owned = AssignSlots(configuration, service, entry.mName);
    std::uint32_t local = 0;
    for (std::size_t n = 0; n < owned.size(); ++n) {
      if (service.mTargets[n].mRegion == entry.mRegion) {
        local += owned[n];
      }
    }
    cr_assert_geq(local, 6U);
    cr_assert_leq(local, 8U);
  }
}

Test(slots, an_unknown_entry_owns_nothing)
{
  const auto configuration = tests::Example("tussock");
  const auto owned =
    AssignSlots(configuration, configuration.mServices[0], "nobody");
  cr_assert_eq(Sum(owned), 0U);
}

Test(slots, owned_slots_rest_until_earlier_work_has_ended)
{
  auto table = MakeSlotTable({ 2, 1 }, kNow + 2s);
  cr_assert_eq(FreeSlots(table, 0, kNow, kNow + 1s), 0U);
  cr_assert_eq(FreeSlots(table, 0, kNow + 2s, kNow + 3s), 2U);
}

Test(slots, no_more_than_the_usable_slots_can_be_taken)
{
  auto table = MakeSlotTable({ 2 }, kNow);
  cr_assert(TakeSlot(table, 0, kNow, kNow + 1s));
  cr_assert(TakeSlot(table, 0, kNow, kNow + 1s));
  cr_assert_not(TakeSlot(table, 0, kNow, kNow + 1s));
  ReleaseSlot(table, 0);
  cr_assert(TakeSlot(table, 0, kNow, kNow + 1s));
}

Test(slots, a_loan_is_out_of_use_at_the_lender_longer_than_in_use)
{
  const auto service = tests::OneRegionService(1, 4);
  auto lender = MakeSlotTable({ 4 }, kNow);
  auto borrower = MakeSlotTable({ 0 }, kNow);
  const auto loans = Lend(lender, service, { "b", "r1", 9, 1, 10s, {} }, kNow);
  cr_assert_eq(loans.size(), 3U);
  for (const auto& it : loans) {
    // The question was sent before the answer: the term counts from there.
    Borrow(borrower, { it.mId, "a", it.mTarget, {} }, kNow - 1s, 10s);
  }
  for (auto now = kNow; now < kNow + 20s; now += 100ms) {
    const auto both =
      UsableSlots(lender, 0, now, now) + UsableSlots(borrower, 0, now, now);
    cr_assert_leq(both, 4U);
  }
  cr_assert_eq(UsableSlots(lender, 0, kNow + 11s, kNow + 11s), 4U);
}

Test(slots, work_that_outlasts_a_loan_cannot_use_it)
{
  auto table = MakeSlotTable({ 0 }, kNow);
  Borrow(table, { 1, "a", 0, {} }, kNow, 10s);
  Borrow(table, { 2, "a", 0, {} }, kNow, 10s);
  cr_assert_eq(FreeSlots(table, 0, kNow, kNow + 9s), 2U);
  cr_assert_eq(FreeSlots(table, 0, kNow, kNow + 11s), 0U);
}

Test(slots, a_borrowed_slot_is_never_lent_on)
{
  const auto service = tests::OneRegionService(1, 4);
  auto table = MakeSlotTable({ 0 }, kNow);
  Borrow(table, { 1, "a", 0, {} }, kNow, 10s);
  cr_assert(Lend(table, service, { "c", "r1", 4, 0, 5s, {} }, kNow).empty());
}

Test(slots, a_loan_given_back_is_usable_at_once)
{
  const auto service = tests::OneRegionService(1, 4);
  auto table = MakeSlotTable({ 4 }, kNow);
  const auto loans = Lend(table, service, { "b", "r1", 1, 0, 10s, {} }, kNow);
  cr_assert_not(EndLent(table, loans[0].mId, "c"));
  cr_assert(EndLent(table, loans[0].mId, "b"));
  cr_assert_eq(FreeSlots(table, 0, kNow, kNow + 1s), 4U);
}

Test(slots, a_new_assignment_shrinks_at_once_and_grows_when_settled)
{
  auto table = MakeSlotTable({ 3, 1 }, kNow);
  ReassignOwned(table, { 1, 3, 2 }, { 0, 1, -1 });
  cr_assert_eq(FreeSlots(table, 0, kNow, kNow), 1U);
  cr_assert_eq(FreeSlots(table, 1, kNow, kNow), 1U);
  cr_assert_eq(FreeSlots(table, 2, kNow, kNow), 0U);
  SettleOwned(table);
  cr_assert_eq(FreeSlots(table, 1, kNow, kNow), 3U);
  cr_assert_eq(FreeSlots(table, 2, kNow, kNow), 2U);
}

Test(slots, targets_keep_their_work_when_they_are_renumbered)
{
  auto table = MakeSlotTable({ 2, 2 }, kNow);
  cr_assert(TakeSlot(table, 1, kNow, kNow + 1s));
  ReassignOwned(table, { 2, 2 }, { 1, 0 });
  cr_assert_eq(table.mInUse[0], 1U);
  cr_assert_eq(table.mInUse[1], 0U);
}

Test(slots, a_started_lender_learns_what_its_earlier_life_lent)
{
  auto borrower = MakeSlotTable({ 0, 0 }, kNow);
  Borrow(borrower, { 1, "a", 0, {} }, kNow, 20s);
  Borrow(borrower, { 2, "a", 1, {} }, kNow, 20s);
  cr_assert(TakeSlot(borrower, 0, kNow, kNow + 1s));
  const auto used = RecallBorrowed(borrower, "a", kNow + 1s);
  // The idle loan has ended; the other goes on.
  cr_assert_eq(used.size(), 1U);
  cr_assert_eq(used[0].mId, 1U);
  cr_assert_eq(FreeSlots(borrower, 1, kNow + 1s, kNow + 2s), 0U);
  auto lender = MakeSlotTable({ 3, 3 }, kNow);
  RestoreLent(lender, { 1, "b", 0, {} }, kNow + 1s, 19s);
  cr_assert_eq(FreeSlots(lender, 0, kNow + 2s, kNow + 3s), 2U);
  cr_assert_eq(FreeSlots(lender, 1, kNow + 2s, kNow + 3s), 3U);
  cr_assert_eq(FreeSlots(lender, 0, kNow + 21s, kNow + 22s), 3U);
  cr_assert(EndLent(lender, 1, "b"));
}
