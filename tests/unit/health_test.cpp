#include <guavaline/targets/health.hpp>

#include "fixtures.hpp"

#include <criterion/criterion.h>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };

std::uint64_t Zero()
{
  return 0;
}

} // namespace

Test(health, a_word_of_leaving_outlasts_a_lagging_endpoint)
{
  TargetHealth health;
  NoteSaidLeaving(health);
  NoteProbe(health, true, false);
  cr_assert_not(IsEligible(health, kNow));
  // It stops, and comes back as a new process.
  NoteProbe(health, false, false);
  NoteProbe(health, true, false);
  cr_assert(IsEligible(health, kNow));
}

Test(health, failures_in_a_row_eject_for_longer_each_time)
{
  TargetHealth health;
  for (int n = 0; n < 3; ++n) {
    NoteFailure(health, kNow);
  }
  cr_assert_not(IsEligible(health, kNow + 900ms));
  cr_assert(IsEligible(health, kNow + 1s));
  for (int n = 0; n < 3; ++n) {
    NoteFailure(health, kNow + 1s);
  }
  cr_assert_not(IsEligible(health, kNow + 2900ms));
  NoteSuccess(health, 5ms, kNow + 3s);
  cr_assert_eq(health.mEjections, 0U);
}

Test(health, no_more_than_half_of_a_region_is_ejected)
{
  const auto service = tests::OneRegionService(4, 1);
  std::vector<TargetHealth> health(4);
  for (std::size_t n = 0; n < 3; ++n) {
    for (int k = 0; k < 3; ++k) {
      NoteFailure(health[n], kNow);
    }
    cr_assert_eq(EligibleTargets(service, "r1", health, kNow).size(),
                 n < 2 ? 3 - n : 4);
  }
}

Test(health, a_region_without_reachable_targets_offers_none)
{
  const auto service = tests::OneRegionService(2, 1);
  std::vector<TargetHealth> health(2);
  for (auto& it : health) {
    NoteProbe(it, false, false);
  }
  cr_assert(EligibleTargets(service, "r1", health, kNow).empty());
}

Test(health, the_target_with_the_least_latency_is_chosen)
{
  const auto service = tests::OneRegionService(3, 1);
  std::vector<TargetHealth> health(3);
  NoteSuccess(health[0], 30ms, kNow);
  NoteSuccess(health[1], 10ms, kNow);
  NoteSuccess(health[2], 90ms, kNow);
  auto slots = MakeSlotTable({ 1, 1, 1 }, kNow);
  const std::string region = "r1";
  const TargetQuery query{ service, region, kNow, kNow + 1s, {} };
  cr_assert_eq(*ChooseTarget(query, slots, health, Zero), 1U);
  cr_assert(TakeSlot(slots, 1, kNow, kNow + 1s));
  cr_assert_eq(*ChooseTarget(query, slots, health, Zero), 0U);
}

Test(health, a_slow_target_is_tried_again_after_a_while)
{
  const auto service = tests::OneRegionService(2, 1);
  std::vector<TargetHealth> health(2);
  NoteSuccess(health[0], 1'000ms, kNow);
  NoteSuccess(health[1], 10ms, kNow + 80s);
  const auto slots = MakeSlotTable({ 1, 1 }, kNow);
  const std::string region = "r1";
  const auto later = kNow + 80s;
  const TargetQuery query{ service, region, later, later + 1s, {} };
  cr_assert_eq(*ChooseTarget(query, slots, health, Zero), 0U);
}

Test(health, a_target_far_slower_than_the_rest_is_left_out)
{
  const auto service = tests::OneRegionService(8, 1);
  std::vector<TargetHealth> health(8);
  for (auto& it : health) {
    NoteSuccess(it, 10ms, kNow);
  }
  NoteSuccess(health[3], 1'000ms, kNow);
  auto slots = MakeSlotTable({ 0, 0, 0, 1, 0, 0, 0, 0 }, kNow);
  const std::string region = "r1";
  const TargetQuery query{ service, region, kNow, kNow + 1s, {} };
  // Only the slow one has a free slot: waiting is better.
  cr_assert_not(ChooseTarget(query, slots, health, Zero).has_value());
  // Where half of them are slow there is no better place to wait for.
  for (std::size_t n = 0; n < 5; ++n) {
    NoteSuccess(health[n], 9'000ms, kNow);
  }
  cr_assert(ChooseTarget(query, slots, health, Zero).has_value());
}

Test(health, probes_do_not_keep_an_old_latency_fresh)
{
  const auto service = tests::OneRegionService(8, 1);
  std::vector<TargetHealth> health(8);
  NoteSuccess(health[3], 1'000ms, kNow);
  for (auto now = kNow; now <= kNow + 80s; now += 1s) {
    for (std::size_t n = 0; n < health.size(); ++n) {
      if (n != 3) {
        NoteSuccess(health[n], 10ms, now);
      }
      NoteProbe(health[n], true, false);
    }
  }
  cr_assert(AvoidedTargets(service, "r1", health, kNow + 80s).empty());
}
