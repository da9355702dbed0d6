#include <guavaline/crashes/crash_table.hpp>

#include <criterion/criterion.h>

#include <set>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };

/// Crashes a life of a target by request 1, which began 1 s before.
bool CrashAt(CrashTable& aTable, std::uint64_t aLife, TimePoint aNow)
{
  return NoteCrash(aTable, { 1, aLife, aNow - 1s, aNow }, aNow);
}

} // namespace

Test(crash_table, two_crashes_one_after_another_are_refused)
{
  CrashTable table;
  CrashAt(table, 1, kNow + 1s);
  cr_assert_not(CrashesTargets(table, 1, kNow + 1s));
  CrashAt(table, 2, kNow + 2s);
  cr_assert(CrashesTargets(table, 1, kNow + 2s));
  cr_assert_not(CrashesTargets(table, 2, kNow + 2s));
  cr_assert_eq(ListRefused(table, kNow + 2s, 8).size(), 1U);
  cr_assert_eq(RefusedFor(table, 1, kNow + 2s).count(), 600'000);
  cr_assert_eq(RefusedFor(table, 2, kNow + 2s).count(), 0);
}

Test(crash_table, a_failing_region_makes_no_request_suspect)
{
  CrashTable table;
  for (int n = 0; n < 10; ++n) {
    const auto crashed = kNow + 1s + n * 1ms;
    NoteCrash(table, { 1, 100U + static_cast<unsigned>(n), kNow, crashed },
              crashed);
  }
  cr_assert_not(CrashesTargets(table, 1, kNow + 2s));
}

// Guards against a request that many callers send at once: the targets that
// crash together must not hide those that crash later.
Test(crash_table, crashes_at_one_moment_do_not_hide_a_later_one)
{
  CrashTable table;
  for (std::uint64_t life = 1; life <= 20; ++life) {
    NoteCrash(table, { 1, life, kNow, kNow + 1s }, kNow + 1s);
  }
  cr_assert_not(CrashesTargets(table, 1, kNow + 1s));
  CrashAt(table, 21, kNow + 5s);
  cr_assert(CrashesTargets(table, 1, kNow + 5s));
}

// Several entries see one target end under the same request.
Test(crash_table, one_life_of_a_target_counts_once)
{
  CrashTable table;
  cr_assert(CrashAt(table, 7, kNow));
  cr_assert_not(CrashAt(table, 7, kNow + 2s));
  cr_assert_not(CrashesTargets(table, 1, kNow + 2s));
}

Test(crash_table, a_whole_answer_clears_a_request)
{
  CrashTable table;
  CrashAt(table, 1, kNow + 1s);
  cr_assert(NoteServed(table, { 1, kNow + 2s }));
  cr_assert_not(NoteServed(table, { 1, kNow + 3s }));
  CrashAt(table, 2, kNow + 5s);
  cr_assert_not(CrashesTargets(table, 1, kNow + 5s));
}

// The same crash may be heard of once more, and look younger then.
Test(crash_table, late_word_of_a_crash_does_not_undo_a_good_run)
{
  CrashTable table;
  CrashAt(table, 1, kNow + 1s);
  NoteServed(table, { 1, kNow + 2s });
  cr_assert_not(CrashAt(table, 1, kNow + 2200ms));
  cr_assert(table.mRecords.at(1).mCrashes.empty());
}

Test(crash_table, crashes_that_entries_saw_apart_add_up)
{
  CrashTable first;
  CrashTable second;
  CrashAt(first, 1, kNow);
  CrashAt(second, 2, kNow + 3s);
  const auto now = kNow + 3s;
  const auto heard = HearEvidence(first, EvidenceOf(second, {}, now, 8), now);
  cr_assert_eq(heard.mCrashes.size(), 1U);
  cr_assert(CrashesTargets(first, 1, now));
  // Hearing it again is no news.
  cr_assert(
    HearEvidence(first, EvidenceOf(second, {}, now, 8), now).mCrashes.empty());
}

Test(crash_table, entries_that_hear_of_a_good_run_clear_the_request)
{
  CrashTable first;
  CrashTable second;
  CrashAt(first, 1, kNow);
  CrashAt(second, 1, kNow);
  NoteServed(second, { 1, kNow + 1s });
  const auto now = kNow + 1s;
  const auto heard = HearEvidence(first, EvidenceOf(second, {}, now, 8), now);
  cr_assert_eq(heard.mServed.size(), 1U);
  cr_assert(first.mRecords.at(1).mCrashes.empty());
}

// An entry that starts late learns of refused requests long after their
// crashes.
Test(crash_table, evidence_of_what_is_refused_is_told_at_any_age)
{
  CrashTable old;
  CrashTable started;
  CrashAt(old, 1, kNow);
  CrashAt(old, 2, kNow + 2s);
  const auto now = kNow + 300s;
  cr_assert(EvidenceOf(old, {}, now, 8).mCrashes.empty());
  HearEvidence(started, EvidenceOf(old, ListRefused(old, now, 8), now, 8), now);
  cr_assert(CrashesTargets(started, 1, now));
  cr_assert_not(CrashesTargets(started, 1, kNow + 603s));
}

Test(crash_table, all_crashers_are_listed_in_turn)
{
  CrashTable table;
  for (std::uint64_t digest = 1; digest <= 20; ++digest) {
    NoteCrash(table, { digest, 1, kNow, kNow + 1s }, kNow + 1s);
    NoteCrash(table, { digest, 2, kNow + 1s, kNow + 2s }, kNow + 2s);
  }
  std::set<std::uint64_t> seen;
  for (int n = 0; n < 3; ++n) {
    for (const auto it : ListRefused(table, kNow + 3s, 8)) {
      seen.insert(it);
    }
  }
  cr_assert_eq(seen.size(), 20U);
}

Test(crash_table, peers_do_not_remind_each_other_for_ever)
{
  CrashTable table;
  NoteRefusedByPeer(table, 1, kNow);
  for (auto now = kNow; now < kNow + 600s; now += 10s) {
    NoteRefusedByPeer(table, 1, now);
  }
  cr_assert_not(CrashesTargets(table, 1, kNow + 601s));
}

namespace {

/// Two crashes of request 1 of which nobody saw the runs end, at kNow and 1 s
/// later.
void NoteUncertain(CrashTable& aTable)
{
  for (std::uint64_t life = 1; life <= 2; ++life) {
    const auto at = kNow + (life - 1) * 1s;
    NoteCrash(aTable, { 1, life, at, at, true }, at);
  }
}

} // namespace

// Guards against an innocent request that is refused for minutes since it was
// under way at two hosts that failed.
Test(crash_table, uncertain_crashes_leave_one_trial)
{
  CrashTable table;
  NoteUncertain(table);
  cr_assert(CrashesTargets(table, 1, kNow + 1s));
  cr_assert_not(TakeTrial(table, 1, kNow + 5s));
  cr_assert(TakeTrial(table, 1, kNow + 6s));
  cr_assert_not(TakeTrial(table, 1, kNow + 60s));
  cr_assert(NoteServed(table, { 1, kNow + 7s }));
  cr_assert_not(CrashesTargets(table, 1, kNow + 7s));
}

// Guards against trials that end target after target.
Test(crash_table, a_trial_that_crashes_a_target_is_the_last)
{
  CrashTable told;
  CrashTable other;
  NoteUncertain(told);
  NoteUncertain(other);
  cr_assert(TakeTrial(told, 1, kNow + 6s));
  const Crash third{ 1, 3, kNow + 6s, kNow + 6s, true };
  cr_assert(NoteCrash(told, third, kNow + 7s));
  HearEvidence(other, { { third }, {} }, kNow + 7s);
  cr_assert_not(TakeTrial(other, 1, kNow + 60s));
}

Test(crash_table, crashes_that_were_seen_leave_no_trial)
{
  CrashTable table;
  CrashAt(table, 1, kNow);
  CrashAt(table, 2, kNow + 2s);
  cr_assert(CrashedUnder(table, 1, 2));
  cr_assert_not(CrashedUnder(table, 1, 3));
  cr_assert_not(TakeTrial(table, 1, kNow + 60s));
  cr_assert_not(TakeTrial(table, 2, kNow + 60s));
}
