#include <guavaline/crashers/crashers.hpp>

#include <criterion/criterion.h>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };

} // namespace

Test(crashers, two_crashes_one_after_another_are_refused)
{
  CrasherTable table;
  NoteCrash(table, 1, kNow, kNow + 1s);
  cr_assert_not(IsCrasher(table, 1, kNow + 1s));
  NoteCrash(table, 1, kNow + 1s, kNow + 2s);
  cr_assert(IsCrasher(table, 1, kNow + 2s));
  cr_assert_not(IsCrasher(table, 2, kNow + 2s));
  cr_assert_eq(ListCrashers(table, kNow + 2s, 8).size(), 1U);
}

Test(crashers, a_failing_region_makes_no_request_suspect)
{
  CrasherTable table;
  for (int n = 0; n < 10; ++n) {
    NoteCrash(table, 1, kNow, kNow + 1s + n * 1ms);
  }
  cr_assert_not(IsCrasher(table, 1, kNow + 2s));
}

Test(crashers, a_whole_answer_clears_a_request)
{
  CrasherTable table;
  NoteCrash(table, 1, kNow, kNow + 1s);
  NoteServed(table, 1);
  NoteCrash(table, 1, kNow + 1s, kNow + 2s);
  cr_assert_not(IsCrasher(table, 1, kNow + 2s));
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
