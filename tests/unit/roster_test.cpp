#include <guavaline/roster/roster.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };

EntryRecord MakeRecord(int aNumber, const std::string& aRegion)
{
  EntryRecord out;
  out.mName = "e" + std::to_string(100 + aNumber);
  out.mIncarnation = 7;
  out.mCallerAddress = "10.0.0." + std::to_string(aNumber) + ":1";
  out.mRegion = aRegion;
  return out;
}

Roster MakeRoster(int aSelf, int aEntries, const std::string& aRegion)
{
  Roster out;
  out.mSelf = MakeRecord(aSelf, aRegion);
  for (int n = 0; n < aEntries; ++n) {
    TakeRecord(out, MakeRecord(n, aRegion), kNow);
  }
  return out;
}

/// @returns a heartbeat's counter that grows with time
std::uint64_t Count(TimePoint aNow)
{
  return static_cast<std::uint64_t>((aNow - kNow).count()) + 2;
}

bool Names(const std::vector<std::string>& aList, const EntryRecord& aRecord)
{
  return std::find(aList.begin(), aList.end(), aRecord.mCallerAddress) !=
         aList.end();
}

} // namespace

Test(roster, callers_are_told_of_their_own_region)
{
  auto roster = MakeRoster(0, 3, "r1");
  TakeRecord(roster, MakeRecord(9, "r2"), kNow);
  const auto list = EntriesFor(roster, "r1", kNow);
  cr_assert_eq(list.size(), 3U);
  cr_assert_not(Names(list, MakeRecord(9, "r2")));
  cr_assert_eq(EntriesFor(roster, "r2", kNow).size(), 1U);
  // A region without entries is served by all others.
  cr_assert_eq(EntriesFor(roster, "r3", kNow).size(), 4U);
}

Test(roster, heartbeats_reach_a_large_region_and_show_who_died)
{
  constexpr std::size_t kEntries = 28;
  constexpr std::size_t kDead = 5;
  std::vector<Roster> all;
  for (int n = 0; n < static_cast<int>(kEntries); ++n) {
    all.push_back(MakeRoster(n, static_cast<int>(kEntries), "r1"));
  }
  auto now = kNow;
  const auto died = kNow + 6s;
  const auto byName = [&](const std::string& aName) -> Roster& {
    return *std::find_if(all.begin(), all.end(), [&](const Roster& a) {
      return a.mSelf.mName == aName;
    });
  };
  for (std::uint64_t turn = 0; now < died + 7s; ++turn) {
    for (std::size_t n = 0; n < kEntries; ++n) {
      if (n == kDead && now >= died) {
        continue;
      }
      ++all[n].mOwnCounter;
      for (const auto& it : PeersToCall(all[n], turn)) {
        auto& peer = byName(it.mName);
        if (&peer == &all[kDead] && now >= died) {
          continue;
        }
        HearNews(peer, TellNews(all[n], now), now);
        HearNews(all[n], TellNews(peer, now), now);
      }
    }
    now += kHeartbeatPeriod;
    const auto& dead = all[kDead].mSelf;
    for (std::size_t n = 0; n < kEntries; ++n) {
      if (n == kDead) {
        continue;
      }
      const auto list = EntriesFor(all[n], "r1", now);
      // The platform's bound: stability window and three seconds.
      cr_assert(now < died + 7s || !Names(list, dead));
      cr_assert_geq(list.size(), kEntries - 1);
    }
  }
}

Test(roster, an_entry_that_leaves_is_not_named)
{
  auto roster = MakeRoster(0, 3, "r1");
  HearNews(roster, { { "e101", 7, 5, true } }, kNow);
  cr_assert_not(Names(EntriesFor(roster, "r1", kNow), MakeRecord(1, "r1")));
  roster.mLeaving = true;
  cr_assert_not(Names(EntriesFor(roster, "r1", kNow), MakeRecord(0, "r1")));
}

Test(roster, an_entry_that_hears_nobody_does_not_declare_all_others_dead)
{
  auto roster = MakeRoster(0, 3, "r1");
  HearNews(roster, { { "e101", 7, 5, false } }, kNow);
  cr_assert_eq(EntriesFor(roster, "r1", kNow + 1min).size(), 3U);
  cr_assert(RecordsToRemove(roster, kNow + 1min).empty());
}

Test(roster, the_last_entry_left_names_no_lost_ones)
{
  // It hears nobody as nobody is left, took that for its own isolation, and led
  // callers to lost entries for ever. The store's answers tell the two apart.
  auto roster = MakeRoster(0, 3, "r1");
  HearNews(roster, { { "e101", 7, 5, false }, { "e102", 7, 5, false } }, kNow);
  for (auto now = kNow; now <= kNow + 13s; now += 2s) {
    NoteContact(roster, now);
  }
  cr_assert_eq(EntriesFor(roster, "r1", kNow + 4s).size(), 3U);
  // The platform's bound: stability window and three seconds.
  const auto list = EntriesFor(roster, "r1", kNow + 7s);
  cr_assert_eq(list.size(), 1U);
  cr_assert(Names(list, roster.mSelf));
  cr_assert_eq(RecordsToRemove(roster, kNow + 13s).size(), 2U);
}

Test(roster, silence_does_not_count_while_isolated)
{
  // A process that was paused, or whose host was cut off, wakes before its
  // peers' heartbeats come.
  auto roster = MakeRoster(0, 3, "r1");
  HearNews(roster, { { "e101", 7, 5, false } }, kNow);
  const auto woken = kNow + 30s;
  NoteContact(roster, woken);
  cr_assert_eq(EntriesFor(roster, "r1", woken).size(), 3U);
  NoteContact(roster, woken + 2s);
  cr_assert_eq(EntriesFor(roster, "r1", woken + 2s).size(), 3U);
  NoteContact(roster, woken + 4500ms);
  cr_assert_eq(EntriesFor(roster, "r1", woken + 4500ms).size(), 1U);
}

Test(roster, an_entry_lost_before_an_isolation_stays_lost)
{
  auto roster = MakeRoster(0, 3, "r1");
  for (auto now = kNow; now <= kNow + 6s; now += 1s) {
    HearNews(roster, { { "e101", 7, Count(now), false } }, now);
  }
  const auto lost = MakeRecord(2, "r1");
  cr_assert_not(Names(EntriesFor(roster, "r1", kNow + 6s), lost));
  cr_assert_not(Names(EntriesFor(roster, "r1", kNow + 30s), lost));
  NoteContact(roster, kNow + 30s);
  const auto list = EntriesFor(roster, "r1", kNow + 30s);
  cr_assert_not(Names(list, lost));
  cr_assert_eq(list.size(), 2U);
}

Test(roster, callers_of_a_lost_region_are_led_to_another)
{
  // Only the region's own entries removed its records, so that its callers
  // were led to dead hosts alone for ever.
  auto roster = MakeRoster(0, 3, "r1");
  TakeRecord(roster, MakeRecord(9, "r2"), kNow);
  for (auto now = kNow; now <= kNow + 20s; now += 1s) {
    HearNews(roster,
             { { "e101", 7, Count(now), false },
               { "e109", 7, now < kNow + 6s ? Count(now) : 1, false } },
             now);
  }
  const auto before = EntriesFor(roster, "r2", kNow + 10s);
  cr_assert_eq(before.size(), 1U);
  cr_assert(Names(before, MakeRecord(9, "r2")));
  cr_assert_not(
    Names(EntriesFor(roster, "r2", kNow + 20s), MakeRecord(9, "r2")));
  cr_assert_eq(EntriesFor(roster, "r2", kNow + 20s).size(), 2U);
}

Test(roster, entries_have_turns_of_their_own_at_each_target)
{
  std::set<double> turns;
  std::set<double> first;
  for (int n = 0; n < 12; ++n) {
    const auto roster = MakeRoster(n, 12, "r1");
    turns.insert(TurnOf(roster, 5));
  }
  cr_assert_eq(turns.size(), 12U);
  cr_assert_eq(*turns.begin(), 0);
  for (std::uint64_t target = 0; target < 12; ++target) {
    first.insert(TurnOf(MakeRoster(0, 12, "r1"), target));
  }
  cr_assert_gt(first.size(), 3U);
}

Test(roster, limits_are_shared_by_the_most_entries_that_were_seen)
{
  auto roster = MakeRoster(0, 12, "r1");
  cr_assert_eq(SharingEntries(roster), 12U);
  for (int n = 1; n < 12; ++n) {
    TakeRecordRemoval(roster, MakeRecord(n, "r1").mName);
  }
  cr_assert_eq(SharingEntries(roster), 12U);
}

Test(roster, one_live_entry_removes_the_record_of_a_dead_one)
{
  int removers = 0;
  for (int n = 1; n < 6; ++n) {
    auto roster = MakeRoster(n, 6, "r1");
    for (int k = 1; k < 6; ++k) {
      HearNews(roster, { { MakeRecord(k, "r1").mName, 7, 90, false } },
               kNow + 20s);
    }
    const auto list = RecordsToRemove(roster, kNow + 20s);
    removers += list.empty() ? 0 : 1;
    cr_assert(list.empty() || list.front().mName == "e100");
  }
  cr_assert_eq(removers, 1);
}

Test(roster, a_large_region_is_not_named_by_its_first_names_only)
{
  // More entries than one answer holds: each that answers names others.
  constexpr int kEntries = 90;
  std::set<std::string> named;
  for (int n = 0; n < kEntries; ++n) {
    const auto list = EntriesFor(MakeRoster(n, kEntries, "r1"), "r1", kNow);
    cr_assert_eq(list.size(), 64U);
    named.insert(list.begin(), list.end());
  }
  cr_assert_eq(named.size(), static_cast<std::size_t>(kEntries));
}

Test(roster, callers_are_led_to_entries_that_serve_while_they_live)
{
  auto roster = MakeRoster(0, 60, "r1");
  UpdateServing(roster, kNow);
  // Load: none for a minute after the start.
  for (int n = 0; n < 60; ++n) {
    UpdateServing(roster, kNow + Seconds(n));
  }
  const auto now = kNow + 1s;
  const auto list = EntriesFor(roster, "r1", now);
  cr_assert_lt(list.size(), 30U);
  cr_assert_geq(list.size(), 15U);
  cr_assert_geq(ServingPeers(roster, now).size() + 1, list.size());
  // Where all of them have left, callers are led to the others.
  for (const auto& it : roster.mServing) {
    if (it != roster.mSelf.mName) {
      roster.mOthers[it].mLeaving = true;
    }
  }
  roster.mServing.erase(roster.mSelf.mName);
  cr_assert_gt(EntriesFor(roster, "r1", now).size(), 20U);
}

Test(roster, more_requests_lead_callers_to_more_entries_within_a_heartbeat)
{
  auto roster = MakeRoster(0, 60, "r1");
  const auto hear = [&](std::uint64_t aCounter, double aRate, TimePoint aNow) {
    for (int n = 1; n < 60; ++n) {
      HearNews(roster,
               { { MakeRecord(n, "r1").mName, 7, aCounter, false, aRate } },
               aNow);
    }
    UpdateServing(roster, aNow);
    return roster.mServing.size();
  };
  hear(1, 0, kNow);
  const auto calm = hear(2, 0, kNow + 60s);
  // Load: a burst that reaches all entries alike.
  cr_assert_gt(hear(3, 20, kNow + 61s), calm);
}

Test(roster, entries_that_serve_may_use_most_of_a_bound_they_share)
{
  // Load: an outage of the store, in which any target may be cold and each
  // entry that sends gets its part of the bound on a cold target. Callers are
  // led to a quarter of the entries, which need most of the bound.
  auto roster = MakeRoster(0, 60, "r1");
  for (int n = 0; n < 60; ++n) {
    UpdateServing(roster, kNow + Seconds(n));
  }
  const auto now = kNow + 1s;
  const auto sharing = static_cast<double>(CountSending(roster, now));
  const auto serving = static_cast<double>(roster.mServing.size());
  cr_assert_lt(serving, 30);
  cr_assert_geq(serving / sharing, 0.75);
  cr_assert_lt(serving, sharing);
}

Test(roster, before_anything_was_chosen_all_live_entries_share_a_bound)
{
  const auto roster = MakeRoster(0, 12, "r1");
  cr_assert_eq(CountSending(roster, kNow), 12U);
}
