#include "entry/entry.hpp"
#include "entry/rate_limits.hpp"
#include "entry/request_state.hpp"

#include "cutting_target.hpp"
#include "entry_fixtures.hpp"
#include "fixtures.hpp"
#include "scripted_server.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <criterion/criterion.h>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;
using tests::ScriptedAnswer;
using tests::ScriptedServer;

namespace {

namespace asio = boost::asio;

std::string Answer(unsigned aStatus, const std::string& aHeaders = "")
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Any\r\n" + aHeaders +
         "Content-Length: 2\r\n\r\nok";
}

/// An entry with one or more targets and one route.
struct Bed
{
  asio::io_context mContext{ 1 };
  Entry mEntry{ mContext, tests::EntrySettingsOf("e1"), tests::PlainAdapter() };
  std::vector<std::unique_ptr<ScriptedServer>> mTargets;
  std::string mId = "q1"; ///< Of the requests that are sent.

  explicit Bed(RequestKind aKind) { tests::ServeOneRoute(mEntry, aKind); }

  void Add(const tests::Script& aScript, const char* aService = "service")
  {
    mTargets.push_back(std::make_unique<ScriptedServer>(mContext, aScript));
    Register("t" + std::to_string(mTargets.size()),
             "127.0.0.1:" + std::to_string(mTargets.back()->Port()), aService);
  }

  void Register(const std::string& aId, const std::string& aAddress,
                const char* aService = "service")
  {
    TakeRegistration(mEntry.mRegistry, tests::TargetAt(aId, aAddress, aService),
                     Clock::now());
  }

  HttpResponse Send(const std::string& aTimeLeft = "2000",
                    const std::string& aPath = "/x/1",
                    const Headers& aMore = {})
  {
    HttpRequest request;
    request.mTarget = aPath;
    request.mHeaders = { { "Host", "a.example" },
                         { "Id", mId },
                         { "Time-Left", aTimeLeft },
                         { "Connection", "close" },
                         { "Other", "kept" } };
    request.mHeaders.insert(request.mHeaders.end(), aMore.begin(), aMore.end());
    return tests::Forward(mContext, mEntry, std::move(request));
  }

  [[nodiscard]] int Runs() const
  {
    int n = 0;
    for (const auto& it : mTargets) {
      n += it->Requests();
    }
    return n;
  }
};

ScriptedAnswer Lose(int, const std::string&)
{
  return { "", false, true };
}

ScriptedAnswer Shed(int, const std::string&)
{
  return { Answer(503, "Not-Run: 1\r\n") };
}

ScriptedAnswer Serve(int, const std::string&)
{
  return { Answer(200, "Proof: p\r\n") };
}

/// A body of small chunks without end.
ScriptedAnswer Babble(int, const std::string&)
{
  std::string pieces;
  for (int n = 0; n < 1'000; ++n) {
    pieces += "1;a=any\r\nx\r\n";
  }
  return { "HTTP/1.1 200 Any\r\nTransfer-Encoding: chunked\r\n\r\n", false,
           false, true, pieces };
}

} // namespace

Test(forward, the_target_gets_the_request_unchanged_with_the_time_left)
{
  Bed bed(RequestKind::Idempotent);
  bed.Add(Serve);
  const auto out = bed.Send("700");
  cr_assert_eq(out.mStatus, 200U);
  cr_assert_eq(FindHeader(out.mHeaders, "Proof"), "p");
  const auto& head = bed.mTargets[0]->Heads().at(0);
  cr_assert_neq(head.find("GET /x/1 HTTP/1.1"), std::string::npos);
  cr_assert_neq(head.find("Id: q1"), std::string::npos);
  cr_assert_neq(head.find("Other: kept"), std::string::npos);
  cr_assert_neq(head.find("Target: t1"), std::string::npos);
  cr_assert_neq(head.find("Host: a.example"), std::string::npos);
  cr_assert_eq(head.find("Connection: close"), std::string::npos);
  const auto at = head.find("Time-Left: ");
  cr_assert_leq(std::stoi(head.substr(at + 11)), 700);
}

Test(forward, an_answer_without_end_ends_at_the_deadline_and_counts_as_failed,
     .timeout = 60)
{
  // It outlasted the route's time-out, and the target went on being chosen.
  Bed bed(RequestKind::NonIdempotent);
  bed.Add(Babble);
  cr_assert_eq(bed.Send().mStatus, 504U);
  const auto& target = *bed.mEntry.mRegistry.mTargets.at("t1");
  cr_assert_gt(target.mLoad.mFailing, 0);
}

Test(forward, a_refusal_that_the_target_does_not_prove_promises_nothing)
{
  // A target ran an order and answered 503 of its own; the caller took that for
  // "not run" and sent it again.
  for (const unsigned status : { 408U, 429U, 503U }) {
    Bed bed(RequestKind::NonIdempotent);
    const auto refuse = [&](int, const std::string&) -> ScriptedAnswer {
      return { Answer(status, "Proof: p\r\n") };
    };
    bed.Add(refuse);
    bed.Add(refuse);
    const auto out = bed.Send();
    cr_assert_eq(out.mStatus, 502U);
    cr_assert(FindHeader(out.mHeaders, "Proof").empty());
    cr_assert(FindHeader(out.mHeaders, "Retry-After").empty());
    cr_assert_eq(bed.Runs(), 1);
    // One that may run again is sent to another target.
    Bed safe(RequestKind::Idempotent);
    safe.Add(refuse);
    safe.Add(refuse);
    cr_assert_eq(safe.Send().mStatus, 502U);
    cr_assert_eq(safe.Runs(), 2);
  }
}

Test(forward, late_in_a_planned_stop_only_what_ends_in_time_is_taken)
{
  Bed bed(RequestKind::NonIdempotent);
  bed.Add(Serve);
  bed.mEntry.mSettings.mBounds.mStopTime = 10s;
  bed.mEntry.mRouting.mRoutes[0].mTimeout = Millis(0);
  bed.mEntry.mStopping = Clock::now() - 4s;
  cr_assert_eq(bed.Send("8000").mStatus, 503U);
  cr_assert_eq(bed.Runs(), 0);
  cr_assert_eq(bed.Send("2000").mStatus, 200U);
}

Test(forward, a_long_field_reaches_the_target)
{
  // Beast's own request holds no field above 64 KiB and threw.
  Bed bed(RequestKind::Idempotent);
  bed.Add(Serve);
  const std::string value(70'000, 'v');
  cr_assert_eq(bed.Send("700", "/x/1", { { "Long", value } }).mStatus, 200U);
  cr_assert_neq(bed.mTargets[0]->Heads().at(0).find("Long: " + value),
                std::string::npos);
}

Test(forward, a_non_idempotent_request_that_may_have_run_is_not_sent_again)
{
  Bed bed(RequestKind::NonIdempotent);
  bed.Add(Lose);
  bed.Add(Lose);
  const auto out = bed.Send();
  cr_assert_eq(out.mStatus, 502U);
  cr_assert_eq(bed.Runs(), 1);
}

Test(forward, an_idempotent_request_is_sent_to_another_target)
{
  Bed bed(RequestKind::Idempotent);
  bed.Add(Lose);
  bed.Add(Lose);
  bed.Add(Lose);
  cr_assert_eq(bed.Send().mStatus, 502U);
  // No more targets than the route allows.
  cr_assert_eq(bed.Runs(), 2);
}

Test(forward, a_refusal_by_the_target_lets_even_an_unsafe_request_go_on)
{
  Bed bed(RequestKind::NonIdempotent);
  int sheds = 0;
  const auto once = [&](int, const std::string&) -> ScriptedAnswer {
    return sheds++ == 0 ? ScriptedAnswer{ Answer(503, "Not-Run: 1\r\n") }
                        : ScriptedAnswer{ Answer(200, "Proof: p\r\n") };
  };
  bed.Add(once);
  bed.Add(once);
  cr_assert_eq(bed.Send().mStatus, 200U);
  cr_assert_eq(bed.Runs(), 2);
}

Test(forward, a_success_without_the_targets_mark_is_not_passed_on)
{
  Bed bed(RequestKind::NonIdempotent);
  bed.Add(
    [](int, const std::string&) -> ScriptedAnswer { return { Answer(200) }; });
  cr_assert_eq(bed.Send().mStatus, 502U);
  cr_assert_eq(bed.Runs(), 1);
}

Test(forward, a_read_goes_elsewhere_after_a_success_without_the_mark)
{
  Bed bed(RequestKind::Idempotent);
  int n = 0;
  const auto first = [&n](int, const std::string&) -> ScriptedAnswer {
    return { n++ == 0 ? Answer(200) : Answer(200, "Proof: p\r\n") };
  };
  bed.Add(first);
  bed.Add(first);
  cr_assert_eq(bed.Send().mStatus, 200U);
  cr_assert_eq(bed.Runs(), 2);
}

Test(forward, routes_that_are_gone_leave_nothing_behind)
{
  Bed bed(RequestKind::Idempotent);
  bed.Add(Serve);
  bed.mEntry.mRouting.mServices["service"] = {};
  for (int n = 0; n < 50; ++n) {
    bed.mEntry.mRouting.mRoutes[0].mName = "route" + std::to_string(n);
    cr_assert_eq(bed.Send().mStatus, 200U);
    ForgetGoneRoutes(bed.mEntry);
  }
  cr_assert_eq(bed.mEntry.mRoutes.size(), 1U);
  cr_assert_eq(bed.mEntry.mRetries.size(), 1U);
  const auto text = bed.mEntry.mMetrics.Text();
  cr_assert_eq(text.find("route48"), std::string::npos);
  cr_assert_neq(text.find("route49"), std::string::npos);
  bed.mEntry.mRouting.mServices.clear();
  ForgetGoneRoutes(bed.mEntry);
  cr_assert(bed.mEntry.mRetries.empty());
}

Test(forward, when_all_targets_refuse_the_caller_is_told_that_nothing_ran)
{
  Bed bed(RequestKind::NonIdempotent);
  bed.Add(Shed);
  bed.Add(Shed);
  const auto out = bed.Send();
  cr_assert_eq(out.mStatus, 503U);
  cr_assert_not(FindHeader(out.mHeaders, "Retry-After").empty());
  cr_assert(FindHeader(out.mHeaders, "Proof").empty());
}

Test(forward, a_request_to_a_port_that_nobody_listens_on_has_not_run)
{
  Bed bed(RequestKind::NonIdempotent);
  bed.Register("t9", "127.0.0.1:1");
  cr_assert_eq(bed.Send().mStatus, 503U);
}

Test(forward, another_target_at_the_address_gets_no_more_requests)
{
  Bed bed(RequestKind::NonIdempotent);
  bed.Add(
    [](int, const std::string&) -> ScriptedAnswer { return { Answer(421) }; });
  cr_assert_eq(bed.Send().mStatus, 503U);
  cr_assert_eq(bed.Send().mStatus, 503U);
  cr_assert_eq(bed.Runs(), 1);
}

Test(forward, a_failure_of_the_target_is_passed_on_as_it_is)
{
  Bed bed(RequestKind::NonIdempotent);
  bed.Add([](int, const std::string&) -> ScriptedAnswer {
    return { Answer(500, "Proof: p\r\n") };
  });
  const auto out = bed.Send();
  cr_assert_eq(out.mStatus, 500U);
  cr_assert_eq(FindHeader(out.mHeaders, "Proof"), "p");
  cr_assert_eq(bed.Runs(), 1);
}

Test(forward, a_request_that_is_not_answered_ends_at_the_routes_timeout)
{
  Bed bed(RequestKind::Idempotent);
  bed.mEntry.mRouting.mRoutes[0].mTimeout = 300ms;
  bed.Add([](int, const std::string&) -> ScriptedAnswer { return {}; });
  cr_assert_eq(bed.Send().mStatus, 504U);
}

// Guards against shifts between regions beyond their bound under load alone:
// the bound is not strict for some time after a disturbance.
Test(forward, a_deadline_that_passes_is_no_disturbance)
{
  Bed bed(RequestKind::Idempotent);
  bed.mEntry.mRouting.mRoutes[0].mTimeout = 300ms;
  bed.Add([](int, const std::string&) -> ScriptedAnswer { return {}; });
  cr_assert_eq(bed.Send().mStatus, 504U);
  cr_assert(bed.mEntry.mDisturbed == TimePoint{});
}

Test(forward, a_connection_that_breaks_is_a_disturbance)
{
  Bed bed(RequestKind::NonIdempotent);
  bed.Add(Lose);
  cr_assert_eq(bed.Send().mStatus, 502U);
  cr_assert(bed.mEntry.mDisturbed != TimePoint{});
}

Test(forward, a_target_that_takes_no_connection_is_a_disturbance)
{
  Bed bed(RequestKind::NonIdempotent);
  bed.Register("t9", "127.0.0.1:1");
  cr_assert_eq(bed.Send().mStatus, 503U);
  cr_assert(bed.mEntry.mDisturbed != TimePoint{});
}

Test(forward, an_entry_without_a_view_says_that_nothing_ran)
{
  Bed bed(RequestKind::Idempotent);
  bed.Add(Serve);
  bed.mEntry.mRouting.mVersion = 0;
  cr_assert_eq(bed.Send().mStatus, 503U);
  bed.mEntry.mRouting.mVersion = 3;
  cr_assert_eq(bed.Send("2000", "/other/").mStatus, 404U);
  cr_assert_eq(bed.Runs(), 0);
}

Test(forward, an_entry_that_stops_takes_no_late_requests)
{
  Bed bed(RequestKind::Idempotent);
  bed.Add(Serve);
  bed.mEntry.mStopping = Clock::now();
  cr_assert_eq(bed.Send().mStatus, 200U);
  bed.mEntry.mStopping = Clock::now() - 4s;
  cr_assert_eq(bed.Send().mStatus, 503U);
  cr_assert_eq(bed.Runs(), 1);
}

Test(forward, retries_stay_within_the_shared_budget)
{
  Bed bed(RequestKind::NonIdempotent);
  bed.Add(Shed);
  bed.Add(Shed);
  constexpr int kRequests = 300;
  for (unsigned n = 0; n < kRequests; ++n) {
    bed.Send();
  }
  const auto& bounds = bed.mEntry.mSettings.mBounds;
  cr_assert_leq(bed.Runs() - kRequests,
                bounds.mRetryRatio * kRequests + bounds.mRetrySlack);
}

namespace {

/// Crashes a target by a request for "/x/bad".
/// @returns the request's digest
std::uint64_t CrashOnce(Bed& aBed)
{
  aBed.Add(Lose);
  cr_assert_eq(aBed.Send("2000", "/x/bad").mStatus, 502U);
  aBed.mTargets.back()->StopListening();
  cr_assert_eq(aBed.Send("2000", "/x/good").mStatus, 503U);
  cr_assert_eq(aBed.mEntry.mCrashTable.mRecords.size(), 1U);
  return aBed.mEntry.mCrashTable.mRecords.begin()->first;
}

} // namespace

Test(forward, a_request_that_crashes_targets_is_refused_after_the_second)
{
  Bed bed(RequestKind::NonIdempotent);
  for (std::size_t n = 0; n < 2; ++n) {
    bed.Add(Lose);
    cr_assert_eq(bed.Send("2000", "/x/bad").mStatus, 502U);
    bed.mTargets[n]->StopListening();
    // The next request finds that the target is down.
    cr_assert_eq(bed.Send("2000", "/x/good").mStatus, 503U);
  }
  bed.Add(Serve);
  cr_assert_eq(bed.Send("2000", "/x/bad").mStatus, 503U);
  cr_assert_eq(bed.Send("2000", "/x/good").mStatus, 200U);
  cr_assert_eq(bed.mTargets[2]->Requests(), 1);
}

// Guards against a crash that is forgotten because a target refuses the
// request: only a run that ends well shows that it crashes nothing.
Test(forward, an_answer_without_a_run_clears_no_crash)
{
  for (const auto* refusal :
       { "HTTP/1.1 421 Any\r\nContent-Length: 0\r\n\r\n",
         "HTTP/1.1 429 Any\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" }) {
    Bed bed(RequestKind::NonIdempotent);
    const auto digest = CrashOnce(bed);
    bed.Add([refusal](int, const std::string&) -> ScriptedAnswer {
      return { refusal };
    });
    cr_assert_neq(bed.Send("2000", "/x/bad").mStatus, 200U);
    cr_assert_eq(bed.mEntry.mCrashTable.mRecords.count(digest), 1U, "%s",
                 refusal);
  }
}

// Guards against "not run" for a request that a target runs: a faulty target
// writes an earlier refusal once more on a kept connection.
Test(forward, a_refusal_that_names_no_request_is_believed_on_a_new_connection)
{
  const auto refuse = [](int n, const std::string&) -> ScriptedAnswer {
    return { Answer(503,
                    n == 0 ? "Not-Run: 1\r\nId: q1\r\n" : "Not-Run: 1\r\n") };
  };
  Bed bed(RequestKind::NonIdempotent);
  bed.Add(refuse);
  cr_assert_eq(bed.Send().mStatus, 503U);
  // The second one comes on the connection that the first one left.
  bed.mId = "q2";
  const auto out = bed.Send();
  cr_assert_eq(out.mStatus, 502U);
  cr_assert_eq(bed.Runs(), 2);
  cr_assert_eq(bed.mTargets[0]->Connections(), 1);
  // That connection is not used again.
  bed.mId = "q3";
  cr_assert_eq(bed.Send().mStatus, 503U);
  cr_assert_eq(bed.mTargets[0]->Connections(), 2);
}

// Guards against another request's answer in the place of the own one: on a
// kept connection nothing ties an answer without an id to its request.
Test(forward, an_answer_that_names_no_request_is_not_taken_on_a_kept_connection)
{
  const auto serve = [](int n, const std::string&) -> ScriptedAnswer {
    return { Answer(200, n == 0 ? "Proof: p\r\nId: q1\r\n" : "Proof: p\r\n") };
  };
  Bed bed(RequestKind::NonIdempotent);
  bed.Add(serve);
  cr_assert_eq(bed.Send().mStatus, 200U);
  bed.mId = "q2";
  cr_assert_eq(bed.Send().mStatus, 502U);
  cr_assert_eq(bed.mTargets[0]->Connections(), 1);
  // The first answer on a new connection can only be its request's.
  bed.mId = "q3";
  cr_assert_eq(bed.Send().mStatus, 200U);
  cr_assert_eq(bed.mTargets[0]->Connections(), 2);
}

// Guards against a target that is thought to live since a late answer of it was
// read at the end of a request that it never answered.
Test(forward, a_late_answer_tells_of_its_target_when_it_came)
{
  Bed bed(RequestKind::NonIdempotent);
  bed.Add([](int, const std::string&) -> ScriptedAnswer {
    return { Answer(200, "Proof: p\r\nId: q0\r\n") };
  });
  const auto sent = Clock::now();
  cr_assert_eq(bed.Send("400").mStatus, 504U);
  const auto heard = bed.mEntry.mRegistry.mTargets.at("t1")->mRuns.mHeard;
  cr_assert_gt(heard, sent);
  cr_assert_lt(heard, sent + 400ms);
}

Test(forward, a_refusal_that_names_its_request_is_believed_on_any_connection)
{
  Bed bed(RequestKind::NonIdempotent);
  bed.Add([](int, const std::string&) -> ScriptedAnswer {
    return { Answer(503, "Not-Run: 1\r\nId: q1\r\n") };
  });
  for (int n = 0; n < 3; ++n) {
    cr_assert_eq(bed.Send().mStatus, 503U);
  }
}

// Guards against an answer that breaks off in its head and is passed on as a
// whole one.
Test(forward, an_answer_cut_in_its_head_is_no_answer)
{
  const std::string whole = Answer(200, "Proof: p\r\nOther: x\r\n");
  const auto head = whole.find("\r\n\r\n") + 4;
  for (std::size_t n = 1; n < head; ++n) {
    Bed bed(RequestKind::NonIdempotent);
    bed.Add([&](int, const std::string&) -> ScriptedAnswer {
      return { whole.substr(0, n), true };
    });
    const auto out = bed.Send();
    cr_assert_eq(out.mStatus, 502U, "cut after %zu bytes", n);
    cr_assert(FindHeader(out.mHeaders, "Proof").empty());
  }
}

Test(forward, lost_answers_make_no_request_suspect)
{
  Bed bed(RequestKind::NonIdempotent);
  bed.Add(Lose);
  for (int n = 0; n < 5; ++n) {
    cr_assert_eq(bed.Send("2000", "/x/good").mStatus, 502U);
  }
}

namespace {

asio::awaitable<void> SendOne(Entry& aEntry)
{
  HttpRequest request;
  request.mTarget = "/x/1";
  request.mArrived = Clock::now();
  request.mHeaders = { { "Host", "a.example" }, { "Id", "q1" } };
  co_await ForwardRequest(aEntry, std::move(request));
}

/// Sends a request whose caller leaves while the target is at work.
/// @returns true where the request ended with its caller
bool SendAndLeave(Bed& aBed)
{
  bool ended = false;
  asio::cancellation_signal leave;
  asio::co_spawn(
    aBed.mContext, SendOne(aBed.mEntry),
    asio::bind_cancellation_slot(leave.slot(), [&](const std::exception_ptr&) {
      ended = true;
      aBed.mContext.stop();
    }));
  asio::steady_timer timer(aBed.mContext, 50ms);
  timer.async_wait([&](const boost::system::error_code&) {
    leave.emit(asio::cancellation_type::all);
  });
  aBed.mContext.run();
  return ended;
}

} // namespace

Test(forward, a_caller_that_leaves_says_nothing_of_the_target)
{
  Bed bed(RequestKind::Idempotent);
  bed.Add([](int, const std::string&) -> ScriptedAnswer { return {}; });
  cr_assert(SendAndLeave(bed));
  const auto& load = bed.mEntry.mRegistry.mTargets.at("t1")->mLoad;
  cr_assert_eq(load.mFailing, 0);
  cr_assert_eq(load.mOwn, 0U);
  cr_assert(bed.mEntry.mRegistry.mTargets.at("t1")->mRuns.mBroken.empty());
}

// Guards against a refused request that is never sent again, so that it cannot
// show that it crashes nothing.
Test(forward, a_request_suspect_by_uncertain_signs_is_tried_once)
{
  Bed bed(RequestKind::Idempotent);
  bed.Add(Serve);
  cr_assert_eq(bed.Send().mStatus, 200U);
  HttpRequest request;
  request.mTarget = "/x/1";
  const auto digest = DigestOf(bed.mEntry, request);
  for (std::uint64_t life = 1; life <= 2; ++life) {
    const auto at = Clock::now() - 20s + life * 1s;
    NoteCrash(bed.mEntry.mCrashTable, { digest, life, at, at, true }, at);
  }
  NoteContact(bed.mEntry.mRoster, Clock::now());
  cr_assert_eq(bed.Send().mStatus, 200U);
  cr_assert_not(CrashesTargets(bed.mEntry.mCrashTable, digest, Clock::now()));
}

Test(forward, requests_of_a_split_route_are_counted_by_service)
{
  Bed bed(RequestKind::Idempotent);
  bed.Add(Serve);
  auto& route = bed.mEntry.mRouting.mRoutes[0];
  route.mServices = { { "service", 1 }, { "without_targets", 1 } };
  constexpr unsigned kRequests = 60;
  for (unsigned n = 0; n < kRequests; ++n) {
    bed.Send();
  }
  auto& requests = bed.mEntry.mRoutes["route"].mSplitRequests;
  const auto served = requests["service"];
  const auto refused = requests["without_targets"];
  cr_assert_gt(served.mPicked, 0U);
  cr_assert_gt(refused.mPicked, 0U);
  cr_assert_eq(served.mPicked + refused.mPicked, kRequests);
  cr_assert_eq(served.mUnsent, 0U);
  cr_assert_eq(refused.mUnsent, refused.mPicked);
  const auto text = bed.mEntry.mMetrics.Text();
  const auto line = "split_requests_total{route=\"route\",service=\"service\","
                    "sent=\"yes\"} " +
                    std::to_string(served.mPicked) + "\n";
  cr_assert_neq(text.find(line), std::string::npos, "%s", text.c_str());
  LogSplits(bed.mEntry);
  cr_assert(requests.empty());
}

namespace {

ScriptedAnswer NameLimit(int, const std::string&)
{
  return { Answer(200, "Proof: p\r\nLimit: 2.5\r\n") };
}

} // namespace

Test(forward, a_limit_that_a_target_names_is_known_until_it_names_none)
{
  Bed bed(RequestKind::Idempotent);
  std::string headers;
  bed.Add([&](int, const std::string&) -> ScriptedAnswer {
    return { Answer(200, "Proof: p\r\n" + headers) };
  });
  const auto& limit = bed.mEntry.mRegistry.mTargets.at("t1")->mLimit;
  bed.Send();
  cr_assert_not(limit.mStatement.mPerSecond.has_value());
  headers = "Limit: 250.5\r\n";
  bed.Send();
  cr_assert_eq(limit.mStatement.mPerSecond, 250.5);
  headers = "Limit: bad\r\n";
  bed.Send();
  cr_assert_eq(limit.mStatement.mPerSecond, 250.5);
  headers.clear();
  bed.Send();
  cr_assert_not(limit.mStatement.mPerSecond.has_value());
  const auto text = bed.mEntry.mMetrics.Text();
  cr_assert_neq(text.find("limited_requests_total{service=\"service\"} 2\n"),
                std::string::npos, "%s", text.c_str());
}

Test(forward, an_answer_of_another_process_says_nothing_of_a_limit)
{
  Bed bed(RequestKind::Idempotent);
  bed.Add(NameLimit);
  bed.Send();
  const auto target = bed.mEntry.mRegistry.mTargets.at("t1");
  HttpResponse unproven;
  unproven.mStatus = 200;
  LearnLimit(bed.mEntry, *target, unproven, Clock::now(), Clock::now());
  cr_assert_eq(target->mLimit.mStatement.mPerSecond, 2.5);
}

// Guards against run times that outlive the move of a route: a slow service's
// times let all requests for a fast one be refused as too late, and without
// requests nothing better was learned.
Test(forward, a_moved_route_is_not_judged_by_its_former_service)
{
  Bed bed(RequestKind::Idempotent);
  bed.Add(Serve, "fast");
  for (const auto it : { Warmth::Known, Warmth::Likely, Warmth::Unlikely }) {
    NoteRun(bed.mEntry.mRoutes["route"].mRunTimes["service"], it, 900ms);
  }
  bed.mEntry.mRouting.mRoutes[0].mServices = { { "fast", 1 } };
  cr_assert_eq(bed.Send("800").mStatus, 200U);
}

namespace {

/// Serves, with a status that says nothing at first.
tests::Script OddAtFirst(unsigned aStatus, int& aAnswers)
{
  return [aStatus, &aAnswers](int, const std::string&) -> ScriptedAnswer {
    return { Answer(aAnswers++ == 0 ? aStatus : 200, "Proof: p\r\n") };
  };
}

} // namespace

// Guards against a status that tells callers nothing: 600 and 999 were passed
// on.
Test(forward, a_status_that_says_nothing_is_not_passed_on)
{
  for (const unsigned status : { 600U, 999U }) {
    int answers = 0;
    Bed once(RequestKind::NonIdempotent);
    once.Add(OddAtFirst(status, answers));
    cr_assert_eq(once.Send().mStatus, 502U, "%u", status);
    cr_assert_eq(once.Runs(), 1);
    answers = 0;
    Bed again(RequestKind::Idempotent);
    again.Add(OddAtFirst(status, answers));
    again.Add(OddAtFirst(status, answers));
    cr_assert_eq(again.Send().mStatus, 200U, "%u", status);
    cr_assert_eq(again.Runs(), 2);
  }
}

// Guards against a part of an answer that passes as the whole of it, where the
// upload is still being sent as the target resets the connection.
Test(forward, an_answer_cut_by_a_reset_during_an_upload_is_not_passed_on,
     .timeout = 60)
{
  constexpr int kTimes = 20;
  Bed bed(RequestKind::NonIdempotent);
  tests::CuttingTarget target(bed.mContext, [](int n) {
    tests::CutPlan out;
    out.mBodyBytes = 1'000;
    out.mDelay = Millis(n);
    out.mFields = "Proof: p\r\n";
    return out;
  });
  for (int n = 0; n < kTimes; ++n) {
    // A target that fails is left alone for a while.
    bed.Register("t" + std::to_string(n),
                 "127.0.0.1:" + std::to_string(target.Port()));
    bed.mEntry.mCrashTable = {};
    HttpRequest request;
    request.mMethod = "POST";
    request.mTarget = "/x/" + std::to_string(n);
    request.mHeaders = { { "Host", "a.example" },
                         { "Id", "q" + std::to_string(n) } };
    request.mBody = std::string(400'000, 'u');
    const auto out =
      tests::Forward(bed.mContext, bed.mEntry, std::move(request));
    cr_assert_eq(out.mStatus, 502U, "%d: %u", n, out.mStatus);
  }
}
