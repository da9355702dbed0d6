#include "http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <stdexcept>

using namespace guavaline;
using namespace guavaline::detail;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t kLongField = 70'000;
constexpr std::uint32_t kMaxHeader = 131'072;

/// Tells which fields and how much body arrived.
asio::awaitable<HttpResponse> Tell(HttpRequest aRequest)
{
  HttpResponse out;
  for (const auto& it : aRequest.mHeaders) {
    if (!IsHopByHop(it.mName) && !SameName(it.mName, "Host")) {
      out.mHeaders.push_back(it);
    }
  }
  out.mBody = "body " + std::to_string(aRequest.mBody.size());
  co_return out;
}

asio::awaitable<HttpResponse> ThrowAtRoot(HttpRequest aRequest)
{
  if (aRequest.mTarget == "/") {
    throw std::length_error("any");
  }
  co_return HttpResponse{};
}

/// A server, and what it answered to bytes that callers sent.
class Bed
{
public:
  explicit Bed(HttpHandler aHandler = Tell, HttpServerLimits aLimits = Limits())
  {
    const auto problem =
      mServer.Listen(mContext, "127.0.0.1", 0, std::move(aHandler), aLimits);
    cr_assert(problem.empty(), "%s", problem.c_str());
  }

  static HttpServerLimits Limits()
  {
    HttpServerLimits out;
    out.mMaxHeaderBytes = kMaxHeader;
    return out;
  }

  /// Sends bytes, then others again and again until the server closes.
  /// @returns all that came back until the server closed
  std::string Ask(const std::string& aBytes, const std::string& aForever = "")
  {
    std::string out;
    asio::co_spawn(
      mContext,
      [&]() -> asio::awaitable<void> {
        out = co_await Exchange(aBytes, aForever);
        mContext.stop();
      },
      asio::detached);
    mContext.restart();
    mContext.run();
    return out;
  }

private:
  asio::awaitable<std::string> Exchange(const std::string& aBytes,
                                        const std::string& aForever)
  {
    boost::system::error_code ec;
    tcp::socket socket(mContext);
    co_await socket.async_connect(
      { asio::ip::make_address("127.0.0.1"), mServer.Port() },
      asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(aBytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    while (!aForever.empty() && !ec) {
      co_await asio::async_write(socket, asio::buffer(aForever),
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
    std::string out;
    co_await asio::async_read(socket, asio::dynamic_buffer(out),
                              asio::redirect_error(asio::use_awaitable, ec));
    co_return out;
  }

  asio::io_context mContext{ 1 };
  HttpServer mServer;
};

std::string Request(const std::string& aFields, const std::string& aBody = "")
{
  return "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + aFields +
         "\r\n" + aBody;
}

bool Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

Test(server, a_long_field_within_the_limit_ends_no_process)
{
  // A field of more than 64 KiB, which a limit allows, threw in the parser and
  // ended the process with all requests in flight.
  Bed bed;
  const std::string value(kLongField, 'v');
  const auto cookie = "Cookie: " + value + "\r\n";
  const auto out = bed.Ask(Request(cookie));
  cr_assert(Has(out, "200 OK"), "%s", out.substr(0, 80).c_str());
  cr_assert(Has(out, cookie));
  cr_assert(Has(bed.Ask(Request(value + ": x\r\n")), value + ": x\r\n"));
  cr_assert(Has(bed.Ask(Request("Small: x\r\n")), "Small: x"));
}

Test(server, a_long_trailer_ends_no_process_and_is_no_field)
{
  Bed bed;
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string value(kLongField, 't');
  auto out =
    bed.Ask(Request(chunked, "2\r\nhi\r\n0\r\nLate: " + value + "\r\n\r\n"));
  cr_assert(Has(out, "body 2"), "%s", out.substr(0, 80).c_str());
  cr_assert_not(Has(out, "Late"));
}

Test(server, a_header_above_the_limit_is_refused)
{
  Bed bed;
  const std::string value(kMaxHeader, 'v');
  cr_assert(Has(bed.Ask(Request("Cookie: " + value + "\r\n")), " 431 "));
}

Test(server, trailers_and_chunk_heads_without_end_are_refused)
{
  // Neither counts as header; a caller could fill the memory with them.
  Bed bed;
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string piece(4'096, 'x');
  bed.Ask(Request(chunked, "2;"), piece);
  bed.Ask(Request(chunked, "0\r\n"), "Field: " + piece + "\r\n");
  cr_assert(Has(bed.Ask(Request("Small: x\r\n")), "Small: x"));
}

Test(server, a_body_whose_end_is_not_known_is_refused)
{
  // Its bytes would run as requests of their own.
  Bed bed;
  for (const auto* it : { "gzip", "identity", "chunked, identity", "" }) {
    const auto out = bed.Ask(
      Request("Transfer-Encoding: " + std::string(it) + "\r\n", Request("")));
    cr_assert(Has(out, " 400 "), "%s: %s", it, out.c_str());
    cr_assert_not(Has(out, "body 0"));
  }
}

Test(server, small_chunked_requests_share_the_memory_for_bodies)
{
  // Each one reserved the largest body allowed until it was answered.
  HttpServerLimits limits;
  limits.mMaxBodyBytes = 64ULL << 20U;
  limits.mMaxBufferedBytes = 1ULL << 20U;
  Bed bed(Tell, limits);
  const auto request =
    Request("Transfer-Encoding: chunked\r\n", "2\r\nhi\r\n0\r\n\r\n");
  cr_assert(Has(bed.Ask(request), "body 2"));
  const std::string chunk = "10000\r\n" + std::string(65'536, 'x') + "\r\n";
  bed.Ask(Request("Transfer-Encoding: chunked\r\n"), chunk);
  cr_assert(Has(bed.Ask(request), "body 2"));
}

Test(server, an_exception_of_a_handler_ends_its_request_alone)
{
  // The request may have run: the answer promises nothing.
  Bed bed(ThrowAtRoot);
  cr_assert(Has(bed.Ask(Request("")), " 500 "));
  cr_assert(
    Has(bed.Ask("GET /x HTTP/1.1\r\nConnection: close\r\n\r\n"), " 200 "));
}
