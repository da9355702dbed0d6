#include "forwarding/exchange.hpp"

#include <criterion/criterion.h>

using namespace guavaline::detail;

namespace {

ExchangeResult Answered(unsigned aStatus, Headers aHeaders, bool aReused)
{
  ExchangeResult out;
  out.mResponse = HttpResponse{ aStatus, std::move(aHeaders), "" };
  out.mMayHaveReached = true;
  out.mReused = aReused;
  out.mExchange = aReused ? 1 : 0;
  return out;
}

} // namespace

Test(exchange, a_refusal_on_a_kept_connection_promises_nothing)
{
  // It may answer an earlier request, while this one runs.
  const Headers ranNot{ { kTargetRanHeader, "no" } };
  const auto kept = JudgeExchange(Answered(503, ranNot, true));
  cr_assert(kept.mShed);
  cr_assert(kept.mMayHaveReached);
  cr_assert_not(kept.mResponse);
  const auto fresh = JudgeExchange(Answered(503, ranNot, false));
  cr_assert(fresh.mShed);
  cr_assert_not(fresh.mMayHaveReached);
}

Test(exchange, a_refusal_that_names_its_exchange_is_believed)
{
  auto named = Answered(503, { { kTargetRanHeader, "no" } }, true);
  named.mNamesRequest = true;
  const auto out = JudgeExchange(std::move(named));
  cr_assert(out.mShed);
  cr_assert_not(out.mMayHaveReached);
}

// Guards against another request's answer, which a target wrote again.
Test(exchange, an_answer_on_a_kept_connection_that_names_no_exchange_is_none)
{
  const auto out = JudgeExchange(Answered(200, {}, true));
  cr_assert_not(out.mResponse);
  cr_assert(out.mMayHaveReached);
}

Test(exchange, an_answer_with_a_refusing_status_tells_that_it_ran)
{
  const auto out = JudgeExchange(Answered(503, {}, false));
  cr_assert_not(out.mShed);
  cr_assert(out.mMayHaveReached);
  cr_assert_eq(FindHeader(out.mResponse->mHeaders, kRanHeader), "yes");
}
