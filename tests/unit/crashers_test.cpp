#include <guavaline/crashers/crashers.hpp>

#include <criterion/criterion.h>

#include <set>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };

/// Crashes a life of a target by request 1, which began 1 s before.
bool CrashAt(CrasherTable& aTable, std::uint64_t aLife, TimePoint aNow)
{
  return NoteCrash(aTable, { 1, aLife, aNow - 1s, aNow }, aNow);
}

} // namespace

Test(crashers, two_crashes_one_after_another_are_refused)
{
  CrasherTable table;
  CrashAt(table, 1, kNow + 1s);
  cr_assert_not(IsCrasher(table, 1, kNow + 1s));
  CrashAt(table, 2, kNow + 2s);
  cr_assert(IsCrasher(table, 1, kNow + 2s));
  cr_assert_not(IsCrasher(table, 2, kNow + 2s));
  cr_assert_eq(ListCrashers(table, kNow + 2s, 8).size(), 1U);
  cr_assert_eq(RefusedFor(table, 1, kNow + 2s).count(), 600'000);
  cr_assert_eq(RefusedFor(table, 2, kNow + 2s).count(), 0);
}

Test(crashers, a_failing_region_makes_no_request_suspect)
{
  CrasherTable table;
  for (int n = 0; n < 10; ++n) {
    const auto crashed = kNow + 1s + n * 1ms;
    NoteCrash(table, { 1, 100U + static_cast<unsigned>(n), kNow, crashed },
              crashed);
  }
  cr_assert_not(IsCrasher(table, 1, kNow + 2s));
}

// Guards against a request that many callers send at once: the targets that
// crash together must not hide those that crash later.
Test(crashers, crashes_at_one_moment_do_not_hide_a_later_one)
{
  CrasherTable table;
  for (std::uint64_t life = 1; life <= 20; ++life) {
    NoteCrash(table, { 1, life, kNow, kNow + 1s }, kNow + 1s);
  }
  cr_assert_not(IsCrasher(table, 1, kNow + 1s));
  CrashAt(table, 21, kNow + 5s);
  cr_assert(IsCrasher(table, 1, kNow + 5s));
}

// Several entries see one target end under the same request.
Test(crashers, one_life_of_a_target_counts_once)
{
  CrasherTable table;
  cr_assert(CrashAt(table, 7, kNow));
  cr_assert_not(CrashAt(table, 7, kNow + 2s));
  cr_assert_not(IsCrasher(table, 1, kNow + 2s));
}

Test(crashers, a_whole_answer_clears_a_request)
{
  CrasherTable table;
  CrashAt(table, 1, kNow + 1s);
  cr_assert(NoteServed(table, { 1, kNow + 2s }));
  cr_assert_not(NoteServed(table, { 1, kNow + 3s }));
  CrashAt(table, 2, kNow + 5s);
  cr_assert_not(IsCrasher(table, 1, kNow + 5s));
}

// The same crash may be heard of once more, and look younger then.
Test(crashers, late_word_of_a_crash_does_not_undo_a_good_run)
{
  CrasherTable table;
  CrashAt(table, 1, kNow + 1s);
  NoteServed(table, { 1, kNow + 2s });
  cr_assert_not(CrashAt(table, 1, kNow + 2200ms));
  cr_assert(table.mRecords.at(1).mCrashes.empty());
}

Test(crashers, crashes_that_entries_saw_apart_add_up)
{
  CrasherTable first;
  CrasherTable second;
  CrashAt(first, 1, kNow);
  CrashAt(second, 2, kNow + 3s);
  const auto now = kNow + 3s;
  const auto heard = HearEvidence(first, EvidenceOf(second, {}, now, 8), now);
  cr_assert_eq(heard.mCrashes.size(), 1U);
  cr_assert(IsCrasher(first, 1, now));
  // Hearing it again is no news.
  cr_assert(
    HearEvidence(first, EvidenceOf(second, {}, now, 8), now).mCrashes.empty());
}

Test(crashers, entries_that_hear_of_a_good_run_clear_the_request)
{
  CrasherTable first;
  CrasherTable second;
  CrashAt(first, 1, kNow);
  CrashAt(second, 1, kNow);
  NoteServed(second, { 1, kNow + 1s });
  const auto now = kNow + 1s;
  const auto heard = HearEvidence(first, EvidenceOf(second, {}, now, 8), now);
  cr_assert_eq(heard.mServed.size(), 1U);
  cr_assert(first.mRecords.at(1).mCrashes.empty());
}

// An entry that starts late learns of crashers long after their crashes.
Test(crashers, evidence_of_what_is_refused_is_told_at_any_age)
{
  CrasherTable old;
  CrasherTable started;
  CrashAt(old, 1, kNow);
  CrashAt(old, 2, kNow + 2s);
  const auto now = kNow + 300s;
  cr_assert(EvidenceOf(old, {}, now, 8).mCrashes.empty());
  HearEvidence(started, EvidenceOf(old, ListCrashers(old, now, 8), now, 8),
               now);
  cr_assert(IsCrasher(started, 1, now));
  cr_assert_not(IsCrasher(started, 1, kNow + 603s));
}

Test(crashers, all_crashers_are_listed_in_turn)
{
  CrasherTable table;
  for (std::uint64_t digest = 1; digest <= 20; ++digest) {
    NoteCrash(table, { digest, 1, kNow, kNow + 1s }, kNow + 1s);
    NoteCrash(table, { digest, 2, kNow + 1s, kNow + 2s }, kNow + 2s);
  }
  std::set<std::uint64_t> seen;
  for (int n = 0; n < 3; ++n) {
    for (const auto it : ListCrashers(table, kNow + 3s, 8)) {
      seen.insert(it);
    }
  }
  cr_assert_eq(seen.size(), 20U);
}

Test(crashers, peers_do_not_remind_each_other_for_ever)
{
  CrasherTable table;
  NoteRefusedByPeer(table, 1, kNow);
  for (auto now = kNow; now < kNow + 600s; now += 10s) {
    NoteRefusedByPeer(table, 1, now);
  }
  cr_assert_not(IsCrasher(table, 1, kNow + 601s));
}
