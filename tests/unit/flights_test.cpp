#include "forwarding/flights.hpp"

#include "fixtures.hpp"
#include "forwarding/exchange.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <criterion/criterion.h>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

/// A node whose only slot is in use.
struct Bed
{
  asio::io_context mContext{ 1 };
  Node mNode{ mContext, tests::DaemonSettings() };

  Bed()
  {
    mNode.mAttempts = MakeAttemptTable(mNode.mSelf, 60s, Clock::now());
    mNode.mAccepted.mConfiguration.mRegions = { { "r", { "d" } } };
    auto& state = mNode.mServices["s"];
    FitShares(state.mShares["r"], mNode.mAccepted.mConfiguration, { 1.0 },
              Clock::now());
    state.mService.mName = "s";
    state.mService.mTargets = { { "t1", "127.0.0.1", 1, "r", "d", 1 } };
    state.mHealth.resize(1);
    state.mSlots = MakeSlotTable({ 1 }, Clock::now());
    cr_assert(TakeSlot(state.mSlots, 0, Clock::now(), Clock::now() + 10s));
  }

  /// Sends a request that waits for the slot in vain.
  HttpResponse Send(const std::string& aIdentity)
  {
    Call call;
    call.mService = "s";
    call.mPlace = "r";
    call.mIdentity = aIdentity;
    call.mDigest = 1;
    call.mStarted = Clock::now();
    call.mDeadline = call.mStarted + 300ms;
    HttpResponse out;
    asio::co_spawn(mContext, JoinFlight(mNode, call),
                   [&](const std::exception_ptr&, HttpResponse a) {
                     out = std::move(a);
                     mContext.stop();
                   });
    mContext.run();
    return out;
  }
};

} // namespace

Test(flights, a_request_without_a_slot_has_not_run)
{
  Bed bed;
  const auto out =
    bed.Send(IdentityPrefix(bed.mNode.mAttempts, Clock::now()) + "1");
  cr_assert_eq(FindHeader(out.mHeaders, kRanHeader), "no");
}

// Guards against "not run" for an identity that another entry was given while
// it waited here: it may have run there.
Test(flights, an_identity_that_moved_meanwhile_is_not_called_unrun)
{
  Bed bed;
  const auto id = IdentityPrefix(bed.mNode.mAttempts, Clock::now()) + "1";
  asio::steady_timer moves(bed.mContext, 50ms);
  moves.async_wait([&](const boost::system::error_code&) {
    const auto answer = Resolve(bed.mNode.mAttempts, id, bed.mNode.mSelf,
                                { "e2", 1 }, Clock::now());
    cr_assert_eq(answer.mVerdict, ResolveVerdict::Yours);
  });
  const auto out = bed.Send(id);
  cr_assert_eq(FindHeader(out.mHeaders, kRanHeader), "unknown");
  cr_assert_eq(FindHeader(out.mHeaders, kReasonHeader), "moved");
}
