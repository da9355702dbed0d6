#include <guavaline/admission/budgets.hpp>

#include "fixtures.hpp"

#include <criterion/criterion.h>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };

} // namespace

Test(budgets, all_entries_together_stay_under_the_link)
{
  const auto configuration = tests::Example("tussock");
  const auto& link = configuration.mLinks[0];
  double bytes = 0;
  std::vector<LinkBudget> budgets;
  for (const auto& it : configuration.mEntries) {
    if (it.mRegion == link.mFrom || it.mRegion == link.mTo) {
      budgets.push_back(MakeLinkBudget(configuration, link, kNow));
    }
  }
  constexpr std::uint64_t kBytes = 1'000;
  const auto time = 20s;
  for (auto now = kNow; now < kNow + time; now += 1ms) {
    for (auto& it : budgets) {
      for (int n = 0; n < 10 && TakeBytes(it, kBytes, now); ++n) {
        bytes += kBytes;
      }
    }
  }
  const auto allowed =
    static_cast<double>(link.mCapacity.mBitsPerSecond) / 8 * 20;
  // A burst of a quarter of a second may come on top.
  cr_assert_leq(bytes, allowed * (1 + 0.25 / 20) + 1e6);
  cr_assert_geq(bytes, allowed * 0.95);
}

// Guards against a budget that each change of the configuration fills again:
// changes in quick succession let several times the link's rate through.
Test(budgets, changes_in_quick_succession_give_no_more_bytes)
{
  const auto configuration = tests::Example("tussock");
  const auto& link = configuration.mLinks[0];
  auto budget = MakeLinkBudget(configuration, link, kNow);
  constexpr std::uint64_t kBytes = 1'000;
  double bytes = 0;
  for (auto now = kNow; now < kNow + 10s; now += 50ms) {
    UpdateLinkBudget(budget, configuration, link, now);
    for (int n = 0; n < 1'000 && TakeBytes(budget, kBytes, now); ++n) {
      bytes += kBytes;
    }
  }
  // A burst of a quarter of a second may come on top.
  cr_assert_leq(bytes, budget.mBytesPerSecond * 10.25 + kBytes);
}

Test(budgets, answers_are_paid_for_by_later_requests)
{
  LinkBudget budget{ 1'000, 250, kNow };
  ChargeBytes(budget, 2'250, kNow);
  cr_assert_not(TakeBytes(budget, 1, kNow + 1s));
  cr_assert_not(TakeBytes(budget, 1, kNow + 2s));
  cr_assert(TakeBytes(budget, 1, kNow + 2100ms));
}

Test(budgets, retries_are_a_part_of_the_requests)
{
  RetryBudget budget;
  int retries = 0;
  for (int n = 0; n < 1'000; ++n) {
    NoteRequest(budget);
    retries += TakeRetry(budget) ? 1 : 0;
  }
  cr_assert_leq(retries, 1'000 / 10 + 10);
  cr_assert_geq(retries, 100);
}
