/// Callers that read their answers slowly, or not at all.

#include "http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <netinet/tcp.h>

#include <algorithm>
#include <vector>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t kAnswer = 1U << 20U;
constexpr std::uint64_t kMost = 4ULL << 20U;
constexpr int kReceiveBuffer = 8'192;
constexpr int kSegment = 1'400;

using MaxSegment =
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;

/// A server of large answers.
struct Bed
{
  asio::io_context mContext{ 1 };
  HttpServer mServer;
  int mHandled = 0;
  std::uint64_t mMostUnsent = 0;

  explicit Bed(const HttpServerLimits& aLimits)
  {
    const auto problem = mServer.Listen(
      mContext, "127.0.0.1", 0,
      [this](HttpRequest) -> asio::awaitable<HttpResponse> {
        ++mHandled;
        HttpResponse out;
        out.mBody = std::string(kAnswer, 'a');
        co_return out;
      },
      aLimits);
    cr_assert(problem.empty(), "%s", problem.c_str());
  }

  void Run(std::function<asio::awaitable<void>()> aTask)
  {
    asio::co_spawn(mContext, std::move(aTask),
                   [this](const std::exception_ptr& a) {
                     cr_assert_not(a);
                     mContext.stop();
                   });
    mContext.run();
  }

  asio::awaitable<void> Pause(Millis aTime)
  {
    asio::steady_timer timer(mContext, aTime);
    co_await timer.async_wait(asio::use_awaitable);
    mMostUnsent = std::max(mMostUnsent, mServer.Unsent());
  }

  /// Sends a request; the connection has small buffers, as over a network.
  asio::awaitable<tcp::socket> Ask()
  {
    const auto before = mHandled;
    tcp::socket out(mContext);
    out.open(tcp::v4());
    out.set_option(MaxSegment(kSegment));
    out.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer));
    co_await out.async_connect(
      { asio::ip::make_address("127.0.0.1"), mServer.Port() },
      asio::use_awaitable);
    co_await asio::async_write(
      out,
      asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n"
                               "Connection: close\r\n\r\n")),
      asio::use_awaitable);
    while (mHandled == before) {
      co_await Pause(1ms);
    }
    co_await Pause(1ms);
    co_return out;
  }

  /// @returns bytes that came until the connection ended
  asio::awaitable<std::size_t> ReadToEnd(tcp::socket& aSocket)
  {
    boost::system::error_code ec;
    std::string out;
    co_await asio::async_read(aSocket, asio::dynamic_buffer(out),
                              asio::redirect_error(asio::use_awaitable, ec));
    co_return out.size();
  }
};

asio::awaitable<void> LeaveManyUnread(Bed& aBed, int aCallers, int& aCut)
{
  std::vector<tcp::socket> slow;
  for (int n = 0; n < aCallers; ++n) {
    slow.push_back(co_await aBed.Ask());
  }
  // One who reads gets its answer while the others wait.
  auto quick = co_await aBed.Ask();
  cr_assert_gt(co_await aBed.ReadToEnd(quick), kAnswer);
  cr_assert_gt(aBed.mServer.Unsent(), 0U);
  for (auto& it : slow) {
    aCut += co_await aBed.ReadToEnd(it) < kAnswer ? 1 : 0;
  }
}

asio::awaitable<void> ReadInDrops(Bed& aBed, std::size_t& aRead)
{
  auto caller = co_await aBed.Ask();
  boost::system::error_code ec;
  std::string buf(100, ' ');
  while (!ec) {
    co_await aBed.Pause(5ms);
    aRead += co_await caller.async_read_some(
      asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
  }
}

asio::awaitable<void> ReadAll(Bed& aBed, std::size_t& aRead)
{
  auto caller = co_await aBed.Ask();
  aRead = co_await aBed.ReadToEnd(caller);
}

} // namespace

// Guards against answers that fill the memory while their callers do not read:
// nothing bounded them but the number of connections.
Test(slow_readers, answers_that_are_not_read_share_one_bound_on_memory,
     .timeout = 120)
{
  constexpr int kCallers = 16;
  HttpServerLimits limits;
  limits.mMaxUnsentBytes = kMost;
  Bed bed(limits);
  int cut = 0;
  bed.Run([&] { return LeaveManyUnread(bed, kCallers, cut); });
  cr_assert_leq(bed.mMostUnsent, kMost, "%zu bytes held",
                static_cast<std::size_t>(bed.mMostUnsent));
  cr_assert_gt(cut, kCallers / 2);
  cr_assert_lt(cut, kCallers);
  cr_assert_eq(bed.mServer.Unsent(), 0U);
}

// Guards against a caller that holds its answer for as long as it likes.
Test(slow_readers, an_answer_that_is_read_in_drops_is_cut, .timeout = 120)
{
  HttpServerLimits limits;
  limits.mSendTimeout = 300ms;
  Bed bed(limits);
  std::size_t read = 0;
  bed.Run([&] { return ReadInDrops(bed, read); });
  cr_assert_lt(read, kAnswer);
  cr_assert_eq(bed.mServer.Unsent(), 0U);
}

// Guards against the loss of an answer that is larger than the bound.
Test(slow_readers, an_answer_above_the_bound_is_sent_alone, .timeout = 120)
{
  HttpServerLimits limits;
  limits.mMaxUnsentBytes = kAnswer / 2;
  Bed bed(limits);
  std::size_t read = 0;
  bed.Run([&] { return ReadAll(bed, read); });
  cr_assert_gt(read, kAnswer);
}
