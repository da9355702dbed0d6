#include "http/client.hpp"

#include "http/sent_ids.hpp"
#include "scripted_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <criterion/criterion.h>

#include <algorithm>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;
using tests::ScriptedAnswer;
using tests::ScriptedServer;

namespace {

namespace asio = boost::asio;

std::string Whole(const std::string& aBody, const std::string& aMore = "")
{
  return "HTTP/1.1 200 OK\r\n" + aMore +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

struct Asked
{
  std::vector<ExchangeResult> mResults;
  int mConnections = 0;
};

/// Sends requests with these ids one after another, each within a time.
Asked AskEach(const tests::Script& aScript,
              const std::vector<std::string>& aIds,
              const std::string& aBody = "", Millis aTime = 5s)
{
  asio::io_context context(1);
  ScriptedServer server(context, aScript);
  HttpClient client(context.get_executor());
  Asked out;
  asio::co_spawn(
    context,
    [&]() -> asio::awaitable<void> {
      for (const auto& it : aIds) {
        HttpRequest request;
        request.mMethod = aBody.empty() ? "GET" : "POST";
        request.mBody = aBody;
        ExchangeOptions options;
        options.mDeadline = Clock::now() + aTime;
        options.mAnswerIdName = "X-Id";
        options.mAnswerId = it;
        options.mUnframedBody = true;
        const Endpoint endpoint{ "127.0.0.1", server.Port() };
        out.mResults.push_back(co_await client.Exchange(
          endpoint, std::move(request), std::move(options)));
      }
      context.stop();
    },
    asio::detached);
  context.run();
  out.mConnections = server.Connections();
  return out;
}

/// Sends requests with the ids "r0", "r1", ...
Asked Ask(const tests::Script& aScript, int aTimes,
          const std::string& aBody = "", Millis aTime = 5s)
{
  std::vector<std::string> ids;
  for (int n = 0; n < aTimes; ++n) {
    ids.push_back("r" + std::to_string(n));
  }
  return AskEach(aScript, ids, aBody, aTime);
}

/// A server that answers requests in the order of their ids.
tests::Script ServeEach(const std::vector<std::string>& aIds)
{
  return [aIds](int n, const std::string&) -> ScriptedAnswer {
    return { Whole("ok",
                   "X-Id: " + aIds[static_cast<std::size_t>(n)] + "\r\n") };
  };
}

} // namespace

Test(client, a_connection_is_kept_after_a_whole_answer)
{
  const auto out = Ask(
    [](int n, const std::string&) -> ScriptedAnswer {
      return { Whole("ok", "X-Id: r" + std::to_string(n) + "\r\n") };
    },
    3);
  cr_assert_eq(out.mConnections, 1);
  cr_assert(out.mResults[2].mReused);
  cr_assert(out.mResults[2].mNamesRequest);
  cr_assert_eq(out.mResults[2].mResponse->mBody, "ok");
}

Test(client, a_connection_whose_answer_names_no_request_is_not_kept)
{
  const auto out = Ask(
    [](int, const std::string&) -> ScriptedAnswer { return { Whole("ok") }; },
    3);
  cr_assert_eq(out.mConnections, 3);
  cr_assert_not(out.mResults[2].mNamesRequest);
  cr_assert_not(IsUnidentified(out.mResults[2]));
  cr_assert_eq(out.mResults[2].mResponse->mBody, "ok");
}

namespace {

asio::awaitable<ExchangeResult> AskBy(HttpClient& aClient, Endpoint aEndpoint,
                                      std::string aMethod, std::string aId)
{
  ExchangeOptions options;
  options.mDeadline = Clock::now() + 5s;
  options.mAnswerIdName = "X-Id";
  options.mAnswerId = std::move(aId);
  HttpRequest request;
  request.mMethod = std::move(aMethod);
  co_return co_await aClient.Exchange(aEndpoint, std::move(request), options);
}

asio::awaitable<void> AskByTurns(HttpClient& aClient, Endpoint aEndpoint,
                                 std::vector<ExchangeResult>& aResults)
{
  int n = 0;
  for (const auto* it : { "GET", "HEAD", "GET", "HEAD" }) {
    const auto id = "r" + std::to_string(n++);
    aResults.push_back(co_await AskBy(aClient, aEndpoint, it, id));
  }
}

} // namespace

// Guards against the copy of an answer without a body that takes the next
// answer's bytes as its own.
Test(client, answers_without_bodies_share_no_connection_with_others)
{
  asio::io_context context(1);
  ScriptedServer server(context, [](int n, const std::string& aHead) {
    const auto whole = Whole("ok", "X-Id: r" + std::to_string(n) + "\r\n");
    const bool head = aHead.compare(0, 4, "HEAD") == 0;
    return ScriptedAnswer{ head ? whole.substr(0, whole.size() - 2) : whole };
  });
  HttpClient client(context.get_executor());
  std::vector<ExchangeResult> results;
  asio::co_spawn(context,
                 AskByTurns(client, { "127.0.0.1", server.Port() }, results),
                 [&](const std::exception_ptr&) { context.stop(); });
  context.run();
  cr_assert_eq(server.Connections(), 3);
  for (std::size_t n = 0; n < results.size(); ++n) {
    cr_assert(results[n].mResponse, "%zu", n);
    cr_assert_eq(results[n].mReused, n == 2, "%zu", n);
  }
}

namespace {

asio::awaitable<ExchangeResult> AskOverSpare(HttpClient& aClient,
                                             Endpoint aEndpoint)
{
  ExchangeOptions options;
  options.mDeadline = Clock::now() + 5s;
  options.mAnswerIdName = "X-Id";
  options.mAnswerId = "r0";
  (void)co_await aClient.OpenSpare(aEndpoint, options);
  HttpRequest request;
  co_return co_await aClient.Exchange(aEndpoint, std::move(request), options);
}

} // namespace

// Guards against the loss of a sound answer: a spare connection is kept, and
// has carried nothing before.
Test(client, the_first_answer_on_a_spare_connection_is_its_requests)
{
  asio::io_context context(1);
  ScriptedServer server(context, [](int, const std::string&) -> ScriptedAnswer {
    return { Whole("ok") };
  });
  HttpClient client(context.get_executor());
  std::optional<ExchangeResult> result;
  asio::co_spawn(context, AskOverSpare(client, { "127.0.0.1", server.Port() }),
                 [&](const std::exception_ptr&, ExchangeResult a) {
                   result = std::move(a);
                   context.stop();
                 });
  context.run();
  cr_assert(result->mReused);
  cr_assert_eq(server.Connections(), 1);
  cr_assert_not(IsUnidentified(*result));
}

// Guards against the copy of an earlier answer, which bears the id as well.
Test(client, a_connection_carries_no_id_twice)
{
  const std::vector<std::string> ids{ "a", "a", "b", "a", "a", "b" };
  const auto out = AskEach(ServeEach(ids), ids);
  cr_assert_eq(out.mConnections, 4);
  cr_assert_not(out.mResults[1].mReused);
  cr_assert_eq(out.mResults[1].mPassedOver, 1U);
  cr_assert(out.mResults[2].mReused);
  cr_assert_eq(out.mResults[3].mPassedOver, 2U);
  cr_assert_eq(out.mResults[4].mPassedOver, 3U);
  // Those that have not carried it are still used.
  cr_assert(out.mResults[5].mReused);
}

Test(client, a_connection_that_remembers_no_more_ids_is_not_kept)
{
  constexpr int kMany = static_cast<int>(kMaxSentIds) + 1;
  std::vector<std::string> ids;
  for (int n = 0; n < kMany; ++n) {
    ids.push_back("r" + std::to_string(n));
  }
  const auto out = AskEach(ServeEach(ids), ids);
  cr_assert_eq(out.mConnections, 2);
  cr_assert_not(out.mResults.back().mReused);
}

Test(client, a_late_answer_to_an_earlier_request_is_skipped)
{
  // The second answer of the first request arrives with the second request.
  const auto out = Ask(
    [](int n, const std::string&) -> ScriptedAnswer {
      const auto id = "X-Id: r" + std::to_string(n) + "\r\n";
      return { (n == 1 ? Whole("stale", "X-Id: r0\r\n") : "") +
               Whole("own" + std::to_string(n), id) };
    },
    2);
  cr_assert_eq(out.mConnections, 1);
  cr_assert_eq(out.mResults[1].mResponse->mBody, "own1");
}

Test(client, an_answer_with_an_empty_id_belongs_to_no_request)
{
  const auto out = Ask(
    [](int n, const std::string&) -> ScriptedAnswer {
      const auto id = "X-Id: r" + std::to_string(n) + "\r\n";
      return { Whole("stale", "X-Id:\r\n") + Whole("own", id) };
    },
    1);
  cr_assert_eq(out.mResults[0].mResponse->mBody, "own");
}

Test(client, surplus_bytes_end_the_connection)
{
  const auto out = Ask(
    [](int n, const std::string&) -> ScriptedAnswer {
      const auto id = "X-Id: r" + std::to_string(n) + "\r\n";
      return { Whole("own", id) + "garbage" };
    },
    2);
  cr_assert_eq(out.mConnections, 2);
  cr_assert_eq(out.mResults[1].mResponse->mBody, "own");
}

Test(client, an_unframed_answer_is_whole_only_if_it_ends_in_order)
{
  const std::string head = "HTTP/1.1 200 OK\r\n\r\nbody";
  auto out = Ask(
    [&](int, const std::string&) -> ScriptedAnswer {
      return { head, true };
    },
    1);
  cr_assert(out.mResults[0].mResponse.has_value());
  cr_assert_eq(out.mResults[0].mResponse->mBody, "body");
  out = Ask(
    [&](int, const std::string&) -> ScriptedAnswer {
      return { head, false, true };
    },
    1);
  cr_assert_not(out.mResults[0].mResponse.has_value());
  cr_assert(out.mResults[0].mMayHaveReached);
}

Test(client, an_answer_that_ends_early_is_none)
{
  const auto out = Ask(
    [](int, const std::string&) -> ScriptedAnswer {
      return { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true };
    },
    1);
  cr_assert_not(out.mResults[0].mResponse.has_value());
}

Test(client, a_connection_whose_request_was_not_read_whole_is_not_used_again)
{
  // The server answers before it reads the body and would take what follows
  // as the rest of it.
  const std::string large(4U << 20U, 'x');
  const auto out = Ask(
    [](int n, const std::string&) -> ScriptedAnswer {
      const auto id = "X-Id: r" + std::to_string(n) + "\r\n";
      return { Whole("early", id), false, false, n > 0 };
    },
    2, large);
  cr_assert_eq(out.mResults[0].mResponse->mBody, "early");
  cr_assert_eq(out.mResults[1].mResponse->mBody, "early");
  cr_assert_eq(out.mConnections, 2);
}

Test(client, a_connection_is_left_before_its_peer_closes_it)
{
  const auto out = Ask(
    [](int n, const std::string&) -> ScriptedAnswer {
      return { Whole("ok", "Keep-Alive: timeout=1\r\nX-Id: r" +
                             std::to_string(n) + "\r\n") };
    },
    2);
  cr_assert_eq(out.mConnections, 2);
}

namespace {

/// The answer starts with some bytes and goes on with others without end.
ExchangeResult AskEndless(const std::string& aStart, const std::string& aMore,
                          Millis aTime = 5s)
{
  const auto out = Ask(
    [&](int, const std::string&) -> ScriptedAnswer {
      return { aStart, false, false, true, aMore };
    },
    1, "", aTime);
  return out.mResults.front();
}

} // namespace

Test(client, a_head_without_end_is_no_answer, .timeout = 60)
{
  const std::string line = "X-More: " + std::string(1'000, 'x') + "\r\n";
  for (const auto& it : { line, std::string(1'000, 'x') }) {
    const auto out = AskEndless("HTTP/1.1 200 OK\r\n", it);
    cr_assert_not(out.mResponse);
    cr_assert_not(out.mTimedOut);
  }
}

Test(client, bytes_without_end_that_are_no_answer_end_the_exchange,
     .timeout = 60)
{
  for (const auto& it : { std::string(1'000, '\0'), std::string(1'000, 'x') }) {
    const auto out = AskEndless("", it);
    cr_assert_not(out.mResponse);
    cr_assert_not(out.mTimedOut);
  }
}

Test(client, a_chunk_head_or_trailer_without_end_is_no_answer, .timeout = 60)
{
  const std::string head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string line = "X-More: " + std::string(1'000, 'x') + "\r\n";
  const std::string many(1'000, 'x');
  for (const auto& [start, more] :
       { std::pair(head + "5;a=", many), std::pair(head + "0\r\n", line) }) {
    const auto out = AskEndless(start, more);
    cr_assert_not(out.mResponse);
    cr_assert_not(out.mTimedOut);
  }
}

Test(client, small_chunks_without_end_end_at_the_deadline, .timeout = 60)
{
  // The deadline ended a read that waited for bytes, and no exchange for which
  // bytes always waited. Small chunks reach the bound on a body late.
  std::string pieces;
  for (int n = 0; n < 1'000; ++n) {
    pieces += "1;a=any\r\nx\r\n";
  }
  const auto out = AskEndless(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", pieces, 200ms);
  cr_assert_not(out.mResponse);
  cr_assert(out.mTimedOut, "%s", out.mError.Describe().c_str());
  cr_assert(out.mAnswerBegan);
}

Test(client, a_body_without_end_is_no_answer, .timeout = 60)
{
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string many(100'000, 'x');
  for (const auto& [start, more] :
       { std::pair(head + "\r\n", many),
         std::pair(head + "Transfer-Encoding: chunked\r\n\r\n",
                   "186a0\r\n" + many + "\r\n") }) {
    const auto out = AskEndless(start, more);
    cr_assert_not(out.mResponse);
    cr_assert_not(out.mTimedOut);
  }
}

Test(client, interim_answers_without_end_are_no_answer, .timeout = 60)
{
  const auto out = AskEndless("", "HTTP/1.1 102 Processing\r\n\r\n");
  cr_assert_not(out.mResponse);
  cr_assert_not(out.mTimedOut);
}

namespace {

/// Targets that send bodies without end, until told to answer in whole.
struct EndlessTargets
{
  asio::io_context mContext{ 1 };
  bool mEndless = true;
  ScriptedServer mServer{ mContext, [this](int, const std::string&) {
                           return Answer();
                         } };
  HttpClient mClient{ mContext.get_executor() };
  std::uint64_t mMaxBuffered = 0;
  int mFailed = 0;
  ExchangeResult mLast;

  [[nodiscard]] ScriptedAnswer Answer() const
  {
    ScriptedAnswer out{ mEndless ? "HTTP/1.1 200 OK\r\n\r\n" : Whole("ok") };
    out.mForever = mEndless ? std::string(50'000, 'x') : "";
    return out;
  }
};

asio::awaitable<ExchangeResult> AskOnce(EndlessTargets& aTargets)
{
  ExchangeOptions options;
  options.mDeadline = Clock::now() + 20s;
  options.mUnframedBody = true;
  HttpRequest request;
  request.mMethod = "GET";
  const Endpoint endpoint{ "127.0.0.1", aTargets.mServer.Port() };
  auto out = co_await aTargets.mClient.Exchange(endpoint, std::move(request),
                                                std::move(options));
  aTargets.mMaxBuffered =
    std::max(aTargets.mMaxBuffered, aTargets.mClient.Buffered());
  co_return out;
}

/// The last of several callers to fail asks once more for a whole answer.
asio::awaitable<void> AskUntilWhole(EndlessTargets& aTargets, int aCallers)
{
  const auto result = co_await AskOnce(aTargets);
  aTargets.mFailed += result.mResponse || result.mTimedOut ? 0 : 1;
  if (aTargets.mFailed == aCallers) {
    aTargets.mEndless = false;
    aTargets.mLast = co_await AskOnce(aTargets);
    aTargets.mContext.stop();
  }
}

} // namespace

Test(client, bodies_without_end_share_one_bound_on_memory, .timeout = 60)
{
  // Many targets send without end at once: all answers together stay within
  // what the process may hold, and the next answer is whole.
  constexpr int kCallers = 12;
  constexpr std::uint64_t kMost = 4ULL << 20U;
  EndlessTargets targets;
  targets.mClient.SetMostBuffered(kMost);
  for (int n = 0; n < kCallers; ++n) {
    asio::co_spawn(targets.mContext, AskUntilWhole(targets, kCallers),
                   asio::detached);
  }
  targets.mContext.run_for(30s);
  cr_assert_eq(targets.mFailed, kCallers);
  cr_assert_leq(targets.mMaxBuffered, kMost);
  cr_assert(targets.mLast.mResponse);
  cr_assert_eq(targets.mClient.Buffered(), 0U);
}

// Guards against answers whose status says nothing: 600 and 999 were passed on.
Test(client, a_status_outside_100_to_599_is_no_answer, .timeout = 60)
{
  for (const auto* it :
       { "000", "099", "600", "999", "2000", "+20", "2x0", "20", "", "-200" }) {
    const auto head = "HTTP/1.1 " + std::string(it) + " Any\r\nX-Id: r0\r\n";
    for (const auto* framing : { "Content-Length: 2\r\n", "" }) {
      const auto out = Ask(
        [&](int, const std::string&) -> ScriptedAnswer {
          return { head + framing + "\r\nok", true };
        },
        1);
      cr_expect_not(
        out.mResults[0].mResponse, "'%s' passed as %u", it,
        out.mResults[0].mResponse ? out.mResults[0].mResponse->mStatus : 0);
      cr_expect_not(out.mResults[0].mTimedOut, "'%s'", it);
      cr_expect(out.mResults[0].mMayHaveReached, "'%s'", it);
    }
  }
}

Test(client, the_last_status_of_each_kind_is_an_answer, .timeout = 60)
{
  for (const auto* it : { "200", "299", "399", "499", "599" }) {
    const auto out = Ask(
      [&](int, const std::string&) -> ScriptedAnswer {
        return { "HTTP/1.1 " + std::string(it) +
                 " Any\r\nX-Id: r0\r\nContent-Length: 2\r\n\r\nok" };
      },
      1);
    cr_assert(out.mResults[0].mResponse, "%s", it);
    cr_assert_eq(std::to_string(out.mResults[0].mResponse->mStatus), it);
  }
}
