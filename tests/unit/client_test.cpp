#include "http/client.hpp"

#include "scripted_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <criterion/criterion.h>

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

/// Sends requests one after another.
Asked Ask(const tests::Script& aScript, int aTimes,
          const std::string& aBody = "")
{
  asio::io_context context(1);
  ScriptedServer server(context, aScript);
  HttpClient client(context.get_executor());
  Asked out;
  asio::co_spawn(
    context,
    [&]() -> asio::awaitable<void> {
      for (int n = 0; n < aTimes; ++n) {
        HttpRequest request;
        request.mMethod = aBody.empty() ? "GET" : "POST";
        request.mBody = aBody;
        ExchangeOptions options;
        options.mDeadline = Clock::now() + 5s;
        options.mAnswerIdName = "X-Id";
        options.mAnswerId = "r" + std::to_string(n);
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

} // namespace

Test(client, a_connection_is_kept_after_a_whole_answer)
{
  const auto out = Ask(
    [](int, const std::string&) -> ScriptedAnswer { return { Whole("ok") }; },
    3);
  cr_assert_eq(out.mConnections, 1);
  cr_assert(out.mResults[2].mReused);
  cr_assert_eq(out.mResults[2].mResponse->mBody, "ok");
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
    [](int, const std::string&) -> ScriptedAnswer {
      return { Whole("ok", "Keep-Alive: timeout=1\r\n") };
    },
    2);
  cr_assert_eq(out.mConnections, 2);
}
