#include "http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <charconv>
#include <map>

namespace guavaline::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kMostKeptPerPeer = 512;
constexpr std::uint32_t kMostHeaderBytes = 16'384;

/// A kept connection.
class PooledConnection
  : public boost::intrusive_ref_counter<PooledConnection>
  , public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::safe_link>>
{
public:
  explicit PooledConnection(const asio::any_io_executor& aExecutor)
    : mStream(aExecutor)
  {
  }

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  TimePoint mProven{};
};

using Connection = boost::intrusive_ptr<PooledConnection>;
using ConnectionList = boost::intrusive::list<PooledConnection>;

/// @returns true where the peer has neither closed nor sent stray bytes
bool StillQuiet(tcp::socket& aSocket)
{
  beast::error_code ec;
  aSocket.non_blocking(true, ec);
  char buf = 0;
  aSocket.receive(asio::buffer(&buf, 1), tcp::socket::message_peek, ec);
  return ec == asio::error::would_block || ec == asio::error::try_again;
}

} // namespace

class HttpPoolState : public boost::intrusive_ref_counter<HttpPoolState>
{
public:
  ~HttpPoolState()
  {
    for (auto& [key, list] : mIdle) {
      Drop(list);
    }
  }

  static void Drop(ConnectionList& aList)
  {
    aList.clear_and_dispose(
      [](PooledConnection* a) { intrusive_ptr_release(a); });
  }

  static std::string Key(const Endpoint& aEndpoint) { return aEndpoint.Text(); }

  /// Takes the connection proven live last, if lately enough.
  Connection Take(const Endpoint& aEndpoint, TimePoint aNow, Millis aWithin)
  {
    auto& list = mIdle[Key(aEndpoint)];
    while (!list.empty()) {
      Connection out(&list.front(), false);
      list.pop_front();
      if (aNow - out->mProven <= aWithin && StillQuiet(out->mStream.socket())) {
        return out;
      }
    }
    return nullptr;
  }

  void Keep(const Endpoint& aEndpoint, Connection aConnection)
  {
    auto& list = mIdle[Key(aEndpoint)];
    list.push_front(*aConnection.detach());
    if (list.size() > kMostKeptPerPeer) {
      list.pop_back_and_dispose(
        [](PooledConnection* a) { intrusive_ptr_release(a); });
    }
  }

  std::map<std::string, ConnectionList> mIdle;
};

std::string Endpoint::Text() const
{
  return mAddress + ":" + std::to_string(mPort);
}

std::optional<Endpoint> ParseEndpoint(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  Endpoint out{ aText.substr(0, colon), 0 };
  const auto* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data() + colon + 1, end, out.mPort);
  beast::error_code ec;
  (void)asio::ip::make_address(out.mAddress, ec);
  if (ec || result.ec != std::errc{} || result.ptr != end) {
    return std::nullopt;
  }
  return out;
}

HttpClient::HttpClient(asio::any_io_executor aExecutor)
  : mExecutor(std::move(aExecutor))
  , mPool(new HttpPoolState)
{
}

HttpClient::~HttpClient() = default;

void HttpClient::Forget(const Endpoint& aEndpoint)
{
  HttpPoolState::Drop(mPool->mIdle[HttpPoolState::Key(aEndpoint)]);
}

namespace {

asio::awaitable<Connection> Connect(asio::any_io_executor aExecutor,
                                    Endpoint aEndpoint, TimePoint aDeadline,
                                    ExchangeResult& aResult)
{
  Connection out(new PooledConnection(aExecutor));
  beast::error_code ec;
  const auto address = asio::ip::make_address(aEndpoint.mAddress, ec);
  out->mStream.expires_at(aDeadline);
  co_await out->mStream.async_connect(
    tcp::endpoint(address, aEndpoint.mPort),
    asio::redirect_error(asio::use_awaitable, ec));
  if (ec) {
    aResult.mConnectFailed = true;
    aResult.mTimedOut = ec == beast::error::timeout;
    aResult.mError = { "connect", aEndpoint.Text(), ec.message() };
    co_return nullptr;
  }
  out->mStream.socket().set_option(tcp::no_delay(true), ec);
  co_return out;
}

http::request<http::string_body> ToBeast(const Endpoint& aEndpoint,
                                         HttpRequest aRequest)
{
  http::request<http::string_body> out;
  out.version(11);
  out.method_string(aRequest.mMethod);
  out.target(aRequest.mTarget);
  out.set(http::field::host, aEndpoint.Text());
  for (const auto& it : aRequest.mHeaders) {
    out.insert(it.mName, it.mValue);
  }
  out.body() = std::move(aRequest.mBody);
  out.prepare_payload();
  return out;
}

HttpResponse FromBeast(http::response<http::string_body> aMessage)
{
  HttpResponse out;
  out.mStatus = aMessage.result_int();
  for (const auto& it : aMessage) {
    out.mHeaders.push_back(
      { std::string(it.name_string()), std::string(it.value()) });
  }
  out.mBody = std::move(aMessage.body());
  return out;
}

} // namespace

asio::awaitable<ExchangeResult> HttpClient::Exchange(Endpoint aEndpoint,
                                                     HttpRequest aRequest,
                                                     ExchangeOptions aOptions)
{
  ExchangeResult result;
  const auto pool = mPool;
  auto connection = pool->Take(aEndpoint, Clock::now(), aOptions.mReuseWithin);
  if (!connection) {
    connection =
      co_await Connect(mExecutor, aEndpoint, aOptions.mDeadline, result);
    if (!connection) {
      co_return result;
    }
  }
  const bool head = aRequest.mMethod == "HEAD";
  const auto message = ToBeast(aEndpoint, std::move(aRequest));
  beast::error_code ec;
  auto& stream = connection->mStream;
  stream.expires_at(aOptions.mDeadline);
  result.mMayHaveReached = true;
  co_await http::async_write(stream, message,
                             asio::redirect_error(asio::use_awaitable, ec));
  if (ec) {
    result.mTimedOut = ec == beast::error::timeout;
    result.mError = { "send", aEndpoint.Text(), ec.message() };
    co_return result;
  }
  http::response_parser<http::string_body> parser;
  parser.header_limit(kMostHeaderBytes);
  parser.body_limit(aOptions.mMostBodyBytes);
  parser.skip(head);
  co_await http::async_read(stream, connection->mBuffer, parser,
                            asio::redirect_error(asio::use_awaitable, ec));
  if (!ec && !head && parser.need_eof()) {
    // Nothing would tell a whole body from one that was cut short.
    ec = http::error::partial_message;
  }
  if (ec) {
    result.mTimedOut = ec == beast::error::timeout;
    result.mError = { "receive", aEndpoint.Text(), ec.message() };
    co_return result;
  }
  const bool keep = parser.get().keep_alive();
  result.mResponse = FromBeast(parser.release());
  if (keep && connection->mBuffer.size() == 0) {
    stream.expires_never();
    connection->mProven = Clock::now();
    pool->Keep(aEndpoint, std::move(connection));
  }
  co_return result;
}

ExchangeResult ExchangeNow(const Endpoint& aEndpoint,
                           const HttpRequest& aRequest, Millis aTimeout)
{
  asio::io_context context(1);
  HttpClient client(context.get_executor());
  ExchangeResult out;
  asio::co_spawn(
    context,
    [&]() -> asio::awaitable<void> {
      ExchangeOptions options;
      options.mDeadline = Clock::now() + aTimeout;
      out = co_await client.Exchange(aEndpoint, aRequest, options);
    },
    asio::detached);
  context.run();
  return out;
}

} // namespace guavaline::detail
