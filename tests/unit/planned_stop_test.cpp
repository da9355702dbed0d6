#include <guavaline/admission/planned_stop.hpp>

#include "daemon/node.hpp"
#include "forwarding/exchange.hpp"
#include "forwarding/forward.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <criterion/criterion.h>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;

namespace asio = boost::asio;

Test(planned_stop, what_may_outlast_the_process_is_not_taken_late)
{
  // Requests that came late in a long stop time were passed on and cut.
  cr_assert(TakesWhileStopping(2'900ms, 10s, 10s));
  cr_assert_not(TakesWhileStopping(4s, 10s, 6s));
  cr_assert(TakesWhileStopping(4s, 10s, 5s));
  cr_assert_not(TakesWhileStopping(5'100ms, 10s, 100ms));
}

Test(planned_stop, a_short_stop_time_takes_requests_for_half_of_it)
{
  cr_assert(TakesWhileStopping(1s, 2s, 1s));
  cr_assert_not(TakesWhileStopping(1'100ms, 2s, 100ms));
}

Test(planned_stop, a_daemon_that_ends_passes_nothing_on)
{
  // What came while it offered its slots to peers was passed on and cut.
  asio::io_context context(1);
  Settings settings;
  settings.mName = "e1";
  settings.mAddress = "127.0.0.1";
  settings.mStore = "127.0.0.1:1";
  Node node(context, settings);
  node.mAccepted.mVersion = 1;
  node.mRefusesNew = true;
  HttpRequest request;
  request.mTarget = "/services/any/";
  HttpResponse out;
  asio::co_spawn(
    context, Forward(node, std::move(request)),
    [&](const std::exception_ptr&, HttpResponse a) { out = std::move(a); });
  context.run();
  cr_assert_eq(out.mStatus, 503U);
  cr_assert_eq(FindHeader(out.mHeaders, kRanHeader), "no");
  cr_assert_eq(FindHeader(out.mHeaders, kReasonHeader), "stopping");
}
