#include "daemon/event_loop.hpp"

#include <boost/asio/post.hpp>

#include <criterion/criterion.h>

#include <stdexcept>

using namespace guavaline;
using namespace guavaline::detail;

namespace {

namespace asio = boost::asio;

asio::awaitable<void> ThrowAtFirst(int& aRuns)
{
  if (++aRuns == 1) {
    throw std::runtime_error("any");
  }
  co_return;
}

} // namespace

Test(event_loop, an_exception_ends_one_handler_and_not_the_process)
{
  asio::io_context context(1);
  bool later = false;
  asio::post(context, [] { throw std::runtime_error("any"); });
  asio::post(context, [&] { later = true; });
  RunEventLoop(context);
  cr_assert(later);
}

Test(event_loop, a_lasting_task_starts_anew_after_an_exception)
{
  // A view that nobody follows any longer would be served from for ever.
  asio::io_context context(1);
  int runs = 0;
  SpawnLasting(context.get_executor(), "test",
               [&runs] { return ThrowAtFirst(runs); });
  RunEventLoop(context);
  cr_assert_eq(runs, 2);
}
