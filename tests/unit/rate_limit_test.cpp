#include <guavaline/placement/rate_limit.hpp>

#include <criterion/criterion.h>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };

} // namespace

Test(rate_limit, answers_tell_when_a_limit_begins_changes_and_ends)
{
  RateLimit limit;
  cr_assert_eq(TakeAnswer(limit, {}, kNow, kNow), LimitChange::None);
  cr_assert_eq(TakeAnswer(limit, 2.0, kNow, kNow + 1s), LimitChange::Named);
  cr_assert_eq(TakeAnswer(limit, 2.0, kNow, kNow + 2s), LimitChange::None);
  cr_assert_eq(limit.mStatement.mStated, kNow + 2s);
  cr_assert_eq(TakeAnswer(limit, 1.5, kNow, kNow + 3s), LimitChange::Changed);
  cr_assert_eq(TakeAnswer(limit, {}, kNow + 4s, kNow + 5s), LimitChange::Ended);
  cr_assert_not(limit.mStatement.mPerSecond.has_value());
}

Test(rate_limit, an_answer_that_crossed_the_naming_does_not_end_it)
{
  RateLimit limit;
  TakeAnswer(limit, 2.0, kNow, kNow + 1s);
  cr_assert_eq(TakeAnswer(limit, {}, kNow, kNow + 2s), LimitChange::None);
  cr_assert_eq(limit.mStatement.mPerSecond, 2.0);
}
