#include <guavaline/views/object_view.hpp>

#include <criterion/criterion.h>

#include <set>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

ObjectChange Put(const std::string& aName, std::uint64_t aRevision)
{
  return { aName, aRevision, false, "{}" };
}

ObjectChange Removal(const std::string& aName, std::uint64_t aRevision)
{
  return { aName, aRevision, true, {} };
}

ObjectView MakeView()
{
  ObjectView out;
  TakeListing(out, { Put("a", 3), Put("b", 5) }, 10);
  return out;
}

const TimePoint kNow{ 1000s };
constexpr DoubtTimes kDoubts{ 6s, 6s };

/// @returns the names that are believed to exist
std::set<std::string> Names(const std::vector<ObjectChange>& aChanges)
{
  std::set<std::string> out;
  for (const auto& it : aChanges) {
    out.insert(it.mName);
  }
  return out;
}

} // namespace

Test(object_view, a_listing_removes_what_it_does_not_name)
{
  auto view = MakeView();
  const auto changes = TakeListing(view, { Put("b", 5), Put("c", 12) }, 14);
  cr_assert_eq(changes.size(), 2U);
  cr_assert_eq(view.mObjects.size(), 2U);
  cr_assert_eq(view.mRevision, 14U);
  cr_assert_eq(view.mObjects.count("a"), 0U);
}

Test(object_view, an_older_listing_does_not_take_a_view_back)
{
  auto view = MakeView();
  TakeChanges(view, { Removal("a", 11) }, 11);
  cr_assert(TakeListing(view, { Put("a", 3), Put("b", 5) }, 10).empty());
  cr_assert_eq(view.mRevision, 11U);
  cr_assert_eq(view.mObjects.count("a"), 0U);
}

Test(object_view, changes_that_come_twice_are_taken_once)
{
  auto view = MakeView();
  cr_assert_eq(TakeChanges(view, { Put("a", 11), Removal("b", 12) }, 12).size(),
               2U);
  cr_assert(TakeChanges(view, { Put("a", 11), Removal("b", 12) }, 12).empty());
  // An add of the time before the removal does not bring it back.
  cr_assert(TakeChanges(view, { Put("b", 5) }, 12).empty());
}

Test(object_view, a_follower_catches_up_from_any_revision_it_listed)
{
  auto source = MakeView();
  auto follower = MakeView();
  TakeChanges(source, { Put("c", 11) }, 11);
  TakeChanges(source, { Removal("a", 12), Removal("c", 13) }, 13);
  TakeChanges(source, { Put("a", 15) }, 16);
  const auto changes = ChangesSince(source, follower.mRevision);
  cr_assert(changes.has_value());
  TakeChanges(follower, *changes, source.mRevision);
  cr_assert_eq(follower.mObjects.size(), source.mObjects.size());
  cr_assert_eq(follower.mObjects["a"].mRevision, 15U);
  cr_assert_eq(follower.mRevision, 16U);
}

Test(object_view, changes_from_before_the_listing_are_not_claimed_whole)
{
  const auto view = MakeView();
  cr_assert_not(ChangesSince(view, 9).has_value());
  cr_assert_not(ChangesSince(ObjectView{}, 0).has_value());
}

Test(object_view, removals_that_were_forgotten_are_not_claimed_whole)
{
  auto view = MakeView();
  std::uint64_t revision = 10;
  for (int n = 0; n < 3'000; ++n) {
    const auto name = "n" + std::to_string(n);
    TakeChanges(view, { Put(name, revision + 1), Removal(name, revision + 2) },
                revision + 2);
    revision += 2;
  }
  cr_assert_not(ChangesSince(view, 10).has_value());
  cr_assert(ChangesSince(view, revision - 100).has_value());
}

Test(object_view, one_entry_of_a_region_watches)
{
  const std::vector<std::string> live{ "e1", "e2", "e3", "e4", "e5" };
  int watchers = 0;
  int probers = 0;
  for (const auto& it : live) {
    watchers += IsWatcher(it, live) ? 1 : 0;
    probers += IsProber(it, live) ? 1 : 0;
  }
  cr_assert_eq(watchers, 1);
  // Some more look for a store that was lost.
  cr_assert_eq(probers, 3);
}

// A store that comes back from an older copy says what it had said before: an
// object that has gone since, one that has changed, and nothing of a new one.
Test(object_view, what_a_restored_store_had_said_before_is_doubted)
{
  auto view = MakeView();
  TakeChanges(
    view,
    { Removal("a", 11), { "b", 12, false, R"({"new":1})" }, Put("c", 13) }, 13);
  const auto changes =
    TakeRestored(view, { Put("a", 3), Put("b", 5) }, 2, 10, kDoubts, kNow);
  cr_assert(changes.empty());
  cr_assert_eq(view.mEpoch, 2U);
  cr_assert_eq(view.mRevision, 10U);
  cr_assert_eq(view.mDoubts.size(), 3U);
  cr_assert(SettleDoubts(view, kNow + 5s).empty());
  // What is written again counts at once, under a number seen before.
  const auto written = TakeChanges(view, { Put("c", 11) }, 11);
  cr_assert(Names(written) == std::set<std::string>{ "c" });
  const auto settled = SettleDoubts(view, kNow + 6s);
  cr_assert((Names(settled) == std::set<std::string>{ "a", "b" }));
  cr_assert(view.mDoubts.empty());
}

Test(object_view, what_a_restored_store_had_never_said_counts_at_once)
{
  auto view = MakeView();
  const auto changes =
    TakeRestored(view, { { "a", 3, false, R"({"other":1})" }, Put("d", 9) }, 2,
                 9, kDoubts, kNow);
  // The object that is missing was there before anything that was seen.
  cr_assert((Names(changes) == std::set<std::string>{ "a", "b", "d" }));
  cr_assert(view.mDoubts.empty());
}

// Pattern: the store is restored twice within seconds.
Test(object_view, a_second_restore_compares_with_what_is_believed)
{
  auto view = MakeView();
  TakeChanges(view, { Removal("a", 11) }, 11);
  TakeRestored(view, { Put("a", 3), Put("b", 5) }, 2, 10, kDoubts, kNow);
  const auto changes =
    TakeRestored(view, { Put("a", 3), Put("b", 5) }, 3, 10, kDoubts, kNow + 3s);
  cr_assert(changes.empty());
  cr_assert_eq(view.mDoubts.count("a"), 1U);
  cr_assert(SettleDoubts(view, kNow + 8s).empty());
  cr_assert_eq(SettleDoubts(view, kNow + 9s).size(), 1U);
}

Test(object_view, changes_of_an_earlier_epoch_are_not_passed_on)
{
  auto view = MakeView();
  TakeChanges(view, { Removal("a", 11) }, 11);
  TakeRestored(view, { Put("a", 3), Put("b", 5) }, 2, 8, kDoubts, kNow);
  cr_assert_not(ChangesSince(view, 7).has_value());
  cr_assert(ChangesSince(view, 8)->empty());
}
