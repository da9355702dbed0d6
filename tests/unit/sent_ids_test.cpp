#include "http/sent_ids.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace guavaline::detail;

Test(sent_ids, an_id_is_known_once_it_was_sent)
{
  SentIds ids;
  cr_assert_not(WasSent(ids, "q1"));
  NoteSent(ids, "q1");
  cr_assert(WasSent(ids, "q1"));
  cr_assert_not(WasSent(ids, "q2"));
  // Requests without an id cannot be told apart either.
  cr_assert_not(WasSent(ids, ""));
  NoteSent(ids, "");
  cr_assert(WasSent(ids, ""));
}

Test(sent_ids, memory_is_bounded)
{
  SentIds ids;
  for (std::size_t n = 0; n < kMaxSentIds; ++n) {
    cr_assert_not(IsFull(ids));
    NoteSent(ids, "q" + std::to_string(n));
  }
  cr_assert(IsFull(ids));
  cr_assert(WasSent(ids, "q0"));
}
