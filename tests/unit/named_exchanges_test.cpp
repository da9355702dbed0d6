#include "forwarding/exchange.hpp"

#include "daemon/probes.hpp"
#include "fixtures.hpp"
#include "scripted_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <criterion/criterion.h>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;
using tests::ScriptedAnswer;
using tests::ScriptedServer;

namespace asio = boost::asio;

namespace {

/// The line by which a target repeats the name of an exchange.
std::string NameIn(const std::string& aHead)
{
  const auto at = aHead.find(kExchangeHeader);
  return at == std::string::npos
           ? ""
           : aHead.substr(at, aHead.find("\r\n", at) + 2 - at);
}

std::string Answer(unsigned aStatus, const std::string& aHeaders,
                   const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Any\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// A node with one target.
struct Bed
{
  asio::io_context mContext{ 1 };
  Node mNode{ mContext, tests::DaemonSettings() };
  ScriptedServer mServer;

  explicit Bed(const tests::Script& aScript)
    : mServer(mContext, aScript)
  {
    Service service;
    service.mName = "s";
    service.mTargets = { { "t1", "127.0.0.1", mServer.Port(), "r", "d", 1 } };
    auto& state = mNode.mServices["s"];
    state.mService = service;
    state.mHealth.resize(1);
    state.mSlots = MakeSlotTable({ 1 }, Clock::now());
  }

  TargetHealth& Health() { return mNode.mServices["s"].mHealth[0]; }

  /// Sends requests one after another.
  std::vector<TargetResult> Send(int aTimes)
  {
    std::vector<TargetResult> out;
    asio::co_spawn(mContext, SendEach(*this, aTimes, out), asio::detached);
    mContext.restart();
    mContext.run();
    return out;
  }

private:
  static asio::awaitable<void> SendEach(Bed& aBed, int aTimes,
                                        std::vector<TargetResult>& aOut)
  {
    for (int n = 0; n < aTimes; ++n) {
      Call call;
      call.mService = "s";
      call.mClass.mIdempotent = true;
      call.mStarted = Clock::now();
      call.mDeadline = call.mStarted + 1s;
      SlotHold hold(aBed.mNode, "s", 0);
      aOut.push_back(
        co_await ExchangeWith(aBed.mNode, call, hold, call.mDeadline));
    }
    aBed.mContext.stop();
  }
};

} // namespace

// Guards against another caller's answer, which a target writes once more as
// the next request arrives on the connection.
Test(named_exchanges, a_copy_of_an_answer_goes_to_no_other_caller)
{
  const std::string refuses = std::string(kTargetRanHeader) + ": no\r\n";
  for (const unsigned status : { 200U, 503U }) {
    const std::string headers = status == 503U ? refuses : "";
    std::string first;
    Bed bed([&](int n, const std::string& aHead) -> ScriptedAnswer {
      const auto own = NameIn(aHead);
      if (n == 0) {
        first = Answer(status, headers + own, "first");
        return { first };
      }
      return { first + Answer(200, own, "own") };
    });
    const auto out = bed.Send(2);
    cr_assert_eq(bed.mServer.Connections(), 1);
    cr_assert(out[1].mResponse);
    cr_assert_eq(out[1].mResponse->mBody, "own", "after a %u", status);
    cr_assert_not(out[1].mShed);
  }
}

// Targets that do not repeat the name serve each request on a connection of its
// own, where the first answer is the request's.
Test(named_exchanges, connections_of_targets_that_name_nothing_are_not_kept)
{
  Bed bed([](int, const std::string&) -> ScriptedAnswer {
    return { Answer(200, "", "own") };
  });
  for (const auto& it : bed.Send(3)) {
    cr_assert_eq(it.mResponse->mBody, "own");
  }
  cr_assert_eq(bed.mServer.Connections(), 3);
}

Test(named_exchanges, callers_do_not_see_the_name)
{
  Bed bed([](int, const std::string& aHead) -> ScriptedAnswer {
    return { Answer(200, NameIn(aHead), "own") };
  });
  const auto out = bed.Send(1);
  cr_assert(FindHeader(out[0].mResponse->mHeaders, kExchangeHeader).empty());
}

// Guards against a target that is taken for unreachable, or for leaving, by an
// answer to another exchange in the place of its health report.
Test(named_exchanges, a_copy_is_no_health_report)
{
  std::string first;
  Bed bed([&](int n, const std::string& aHead) -> ScriptedAnswer {
    const auto own = NameIn(aHead);
    if (n == 0) {
      first = Answer(200, own, R"({"load":0,"leaving":true})");
      return { first };
    }
    return { first + Answer(200, own, R"({"load":0,"leaving":false})") };
  });
  bed.Send(1);
  asio::co_spawn(bed.mContext, ProbeTargets(bed.mNode), asio::detached);
  bed.mContext.restart();
  bed.mContext.run_for(200ms);
  bed.mNode.mStopping = true;
  cr_assert_eq(bed.mServer.Requests(), 2);
  cr_assert(bed.Health().mReachable);
  cr_assert_not(bed.Health().mLeaving);
}

// Guards against a status that tells callers nothing: 600 and 999 were passed
// on.
Test(named_exchanges, a_status_that_says_nothing_is_no_answer)
{
  for (const unsigned status : { 600U, 999U }) {
    Bed bed([&](int, const std::string& aHead) -> ScriptedAnswer {
      return { Answer(status, NameIn(aHead), "own") };
    });
    const auto out = bed.Send(1);
    cr_assert_not(out[0].mResponse, "%u", status);
    cr_assert(out[0].mMayHaveReached);
  }
}
