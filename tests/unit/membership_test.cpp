#include <guavaline/membership/membership.hpp>

#include "fixtures.hpp"

#include <criterion/criterion.h>

#include <random>
#include <set>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };

MembershipView View(const std::string& aName)
{
  auto out = MakeView({ aName, 1 }, MembershipTimes{});
  SetMembers(out, tests::Example("tussock"), kNow);
  return out;
}

MemberNews News(const std::string& aName, std::uint64_t aIncarnation,
                std::uint64_t aCounter)
{
  return { aName, aIncarnation, aCounter, false, 5 };
}

} // namespace

Test(membership, an_entry_not_heard_of_is_suspected_then_gone)
{
  const auto view = View("waikato-a1");
  cr_assert_eq(StatusOf(view, "waikato-a2", kNow), MemberStatus::Suspected);
  cr_assert_eq(StatusOf(view, "waikato-a2", kNow + 10s), MemberStatus::Gone);
  cr_assert_eq(StatusOf(view, "nobody", kNow), MemberStatus::Gone);
}

Test(membership, a_standing_counter_is_no_sign_of_life)
{
  auto view = View("waikato-a1");
  Heartbeat heartbeat;
  heartbeat.mSender = News("waikato-b1", 1, 1);
  heartbeat.mNews = { News("waikato-a2", 1, 7) };
  TakeHeartbeat(view, heartbeat, kNow);
  cr_assert_eq(StatusOf(view, "waikato-a2", kNow), MemberStatus::Alive);
  // The same news again, from whomever, does not make it younger.
  TakeHeartbeat(view, heartbeat, kNow + 9s);
  cr_assert_eq(StatusOf(view, "waikato-a2", kNow + 9s),
               MemberStatus::Suspected);
  cr_assert_eq(StatusOf(view, "waikato-a2", kNow + 10s), MemberStatus::Gone);
}

Test(membership, older_news_is_disregarded)
{
  auto view = View("waikato-a1");
  Heartbeat heartbeat;
  heartbeat.mSender = News("waikato-a2", 2, 9);
  heartbeat.mSender.mLeaving = true;
  TakeHeartbeat(view, heartbeat, kNow);
  heartbeat.mSender = News("waikato-a2", 1, 8);
  TakeHeartbeat(view, heartbeat, kNow + 1s);
  cr_assert_eq(StatusOf(view, "waikato-a2", kNow + 1s), MemberStatus::Leaving);
}

Test(membership, the_platforms_list_can_take_out_but_not_in)
{
  auto view = View("waikato-a1");
  NoteListed(view, "waikato-a2", false);
  cr_assert_neq(StatusOf(view, "waikato-a2", kNow), MemberStatus::Alive);
  Heartbeat heartbeat;
  heartbeat.mSender = News("waikato-a2", 2, 9);
  TakeHeartbeat(view, heartbeat, kNow);
  NoteListed(view, "waikato-a2", true);
  cr_assert_eq(StatusOf(view, "waikato-a2", kNow), MemberStatus::Leaving);
  // The list lags; a new life of the entry is not bound by it.
  heartbeat.mSender = News("waikato-a2", 3, 10);
  TakeHeartbeat(view, heartbeat, kNow);
  cr_assert_eq(StatusOf(view, "waikato-a2", kNow), MemberStatus::Alive);
}

Test(membership, every_peer_is_called_once_in_a_cycle)
{
  auto view = View("waikato-a1");
  std::mt19937_64 random(1);
  std::multiset<std::string> called;
  for (int n = 0; n < 4; ++n) {
    for (const auto& it : PickPeers(view, [&] { return random(); })) {
      called.insert(it);
    }
  }
  cr_assert_eq(called.size(), 11U);
  for (const auto& it : called) {
    cr_assert_eq(called.count(it), 1U);
  }
}

Test(membership, versions_are_settled_when_all_that_live_have_them)
{
  auto view = View("waikato-a1");
  cr_assert_not(AllHaveVersion(view, 5, kNow));
  for (const auto& it : tests::Example("tussock").mEntries) {
    if (it.mName != "canterbury-b2") {
      Heartbeat heartbeat;
      heartbeat.mSender = News(it.mName, 1, 1);
      TakeHeartbeat(view, heartbeat, kNow + 9s);
    }
  }
  cr_assert_not(AllHaveVersion(view, 5, kNow + 9s));
  // The last one is gone, so nothing waits for it.
  cr_assert(AllHaveVersion(view, 5, kNow + 10s));
  cr_assert_not(AllHaveVersion(view, 6, kNow + 10s));
}
