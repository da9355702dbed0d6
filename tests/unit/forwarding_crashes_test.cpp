#include "forwarding/crashes.hpp"

#include "fixtures.hpp"
#include "forwarding/exchange.hpp"
#include "scripted_server.hpp"
#include "standin/held_port.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <criterion/criterion.h>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;
using guavaline::testing::HeldPort;
using guavaline::testing::PortManner;
using tests::ScriptedAnswer;
using tests::ScriptedServer;

namespace asio = boost::asio;

namespace {

constexpr std::uint64_t kDigest = 1;

/// A node with three targets in one failure domain, which lose each answer.
struct Bed
{
  asio::io_context mContext{ 1 };
  Node mNode{ mContext, tests::DaemonSettings() };
  std::vector<std::unique_ptr<ScriptedServer>> mServers;

  Bed()
  {
    Service service;
    service.mName = "s";
    for (int n = 1; n <= 3; ++n) {
      mServers.push_back(
        std::make_unique<ScriptedServer>(mContext, [](int, const std::string&) {
          ScriptedAnswer out;
          out.mReset = true;
          return out;
        }));
      service.mTargets.push_back({ "t" + std::to_string(n), "127.0.0.1",
                                   mServers.back()->Port(), "r", "d", 1 });
    }
    auto& state = mNode.mServices["s"];
    state.mService = service;
    state.mHealth.resize(service.mTargets.size());
    state.mSlots = MakeSlotTable({ 1, 1, 1 }, Clock::now());
  }

  /// Sends a request to the first target.
  void Send()
  {
    asio::co_spawn(mContext, SendOnce(mNode), asio::detached);
    mContext.run_for(200ms);
  }

  /// Breaks a run of the request, which started a moment ago, with a target.
  void Break(const std::string& aTarget, RunEnd aEnd = RunEnd::Broke)
  {
    const auto now = Clock::now();
    NoteBrokenRun(mNode, { "s", aTarget }, { kDigest, now - 50ms, now, aEnd });
    mContext.restart();
    asio::steady_timer later(mContext, 1s);
    later.async_wait([](const boost::system::error_code&) {});
    mContext.run_for(1s);
  }

  /// Moves a target to a port that is silent.
  HeldPort Silence(std::size_t aTarget)
  {
    const auto port = mServers[aTarget]->Port();
    mServers[aTarget]->StopListening();
    return { mContext, "127.0.0.1", port, PortManner::Silent };
  }

  [[nodiscard]] bool Refuses()
  {
    return CrashesTargets(mNode.mCrashTable, kDigest, Clock::now());
  }

private:
  static asio::awaitable<void> SendOnce(Node& aNode)
  {
    Call call;
    call.mService = "s";
    call.mDigest = kDigest;
    call.mStarted = Clock::now();
    call.mDeadline = call.mStarted + 1s;
    SlotHold hold(aNode, "s", 0);
    co_await ExchangeWith(aNode, call, hold, call.mDeadline);
  }
};

} // namespace

// Guards against a request that is refused for minutes since its answers were
// lost, though no target crashed.
Test(forwarding_crashes, lost_answers_make_no_request_suspect)
{
  Bed bed;
  for (int n = 0; n < 4; ++n) {
    bed.Send();
  }
  cr_assert_not(bed.Refuses());
}

Test(forwarding_crashes, targets_that_refuse_connections_have_crashed)
{
  Bed bed;
  bed.mServers[0]->StopListening();
  bed.mServers[1]->StopListening();
  bed.Break("t1");
  cr_assert_not(bed.Refuses());
  bed.Break("t2");
  cr_assert(bed.Refuses());
}

// Guards against crashes that no connection shows, since the host is gone.
Test(forwarding_crashes, targets_that_fall_silent_have_crashed)
{
  Bed bed;
  const auto first = bed.Silence(0);
  bed.Break("t1", RunEnd::Unseen);
  const auto second = bed.Silence(1);
  bed.Break("t2", RunEnd::Unseen);
  cr_assert(bed.Refuses());
}

// Guards against requests that are blamed for the failure of a domain.
Test(forwarding_crashes, a_failed_domain_makes_no_request_suspect)
{
  Bed bed;
  for (const auto& it : bed.mServers) {
    it->StopListening();
  }
  bed.Break("t1");
  bed.Break("t2");
  cr_assert_not(bed.Refuses());
}

Test(forwarding_crashes, targets_that_leave_may_end_with_runs_under_way)
{
  Bed bed;
  auto& state = bed.mNode.mServices["s"];
  for (std::size_t n = 0; n < 2; ++n) {
    bed.mServers[n]->StopListening();
    state.mHealth[n].mLeaving = true;
  }
  bed.Break("t1");
  bed.Break("t2");
  cr_assert_not(bed.Refuses());
}

// Guards against a request that ran at all targets of a domain that failed, and
// is refused without a chance to show that it crashes none.
Test(forwarding_crashes, a_crash_that_nothing_else_explains_is_uncertain)
{
  Bed bed;
  auto& state = bed.mNode.mServices["s"];
  for (std::size_t n = 0; n < state.mService.mTargets.size(); ++n) {
    state.mService.mTargets[n].mFailureDomain = "d" + std::to_string(n);
    bed.mServers[n]->StopListening();
  }
  bed.Break("t1");
  bed.Break("t2");
  cr_assert(bed.Refuses());
  cr_assert(TakeTrial(bed.mNode.mCrashTable, kDigest, Clock::now() + 10s));
}
