#include "http/client.hpp"

#include "http/message_head.hpp"
#include "http/message_parser.hpp"
#include "http/sent_ids.hpp"
#include "http/stream_end.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>

namespace guavaline::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kMaxKeptPerPeer = 512;
constexpr std::uint32_t kMaxHeaderBytes = 16'384;
/// A kept connection is left this long before its peer closes it.
constexpr Millis kIdleMargin{ 1'000 };
/// Where a peer does not say how long it keeps an idle connection.
constexpr Millis kKeptUnbounded{ 86'400'000 };
/// Keep-alive probes of idle connections, in seconds and tries: a connection
/// that has gone silent is found within about three seconds.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeTries = 2;
/// Bodies above this are sent while the answer is awaited, since a peer may
/// answer before it has read them.
constexpr std::size_t kSmallBody = 8'192;
/// Bytes of a connection that are read and not yet parsed. What is longer
/// without being a head or a piece of a body is no answer.
constexpr std::size_t kMaxUnparsed = 65'536;
/// Bodies of all answers that are being read, where no other bound is set.
constexpr std::uint64_t kMaxBuffered = 256ULL << 20U;
/// Interim answers, and late ones to earlier requests, before the own answer.
constexpr int kMaxLate = 16;
/// Longest wait for the outcome of a send on a connection that was reset. The
/// system has ended the send by then, and only its handler has yet to run.
constexpr Millis kSendEnds{ 200 };

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
  beast::flat_buffer mBuffer{ kMaxUnparsed };
  TimePoint mProven{};
  Millis mIdleLimit{ kKeptUnbounded }; ///< The peer closes it after that.
  std::uint64_t mNumber = 0;
  std::size_t mExchanges = 0; ///< Requests that it has carried.
  SentIds mSentIds;
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

  /// Takes the connection proven live last, if lately enough. One that has
  /// carried the request's id is left to others, as the answer to that may come
  /// again.
  /// @param aPassedOver  counts those left so
  Connection Take(const Endpoint& aEndpoint, const ExchangeOptions& aOptions,
                  std::size_t& aPassedOver, TimePoint aNow)
  {
    auto& list = mIdle[Key(aEndpoint)];
    for (auto it = list.begin(); it != list.end();) {
      if (!aOptions.mAnswerIdName.empty() &&
          WasSent(it->mSentIds, aOptions.mAnswerId)) {
        ++aPassedOver;
        ++it;
        continue;
      }
      Connection out(&*it, false);
      it = list.erase(it);
      const auto idle = aNow - out->mProven;
      if (idle <= aOptions.mReuseWithin && idle < out->mIdleLimit &&
          StillQuiet(out->mStream.socket())) {
        return out;
      }
    }
    return nullptr;
  }

  void DropExpired(TimePoint aNow)
  {
    for (auto it = mIdle.begin(); it != mIdle.end();) {
      auto& list = it->second;
      while (!list.empty() &&
             aNow - list.back().mProven >= list.back().mIdleLimit) {
        list.pop_back_and_dispose(
          [](PooledConnection* a) { intrusive_ptr_release(a); });
      }
      it = list.empty() ? mIdle.erase(it) : std::next(it);
    }
  }

  void Keep(const Endpoint& aEndpoint, Connection aConnection)
  {
    auto& list = mIdle[Key(aEndpoint)];
    list.push_front(*aConnection.detach());
    if (list.size() > kMaxKeptPerPeer) {
      list.pop_back_and_dispose(
        [](PooledConnection* a) { intrusive_ptr_release(a); });
    }
  }

  std::map<std::string, ConnectionList> mIdle;
  std::uint64_t mLastNumber = 0;              ///< Of a connection.
  BufferedBytes mBuffered{ 0, kMaxBuffered }; ///< Answers being read.
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

bool IsUnidentified(const ExchangeResult& aResult) noexcept
{
  return aResult.mResponse && aResult.mExchange > 0 && !aResult.mNamesRequest;
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

using UserTimeout =
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using ProbeAfter =
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using ProbeEvery =
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using ProbeTries =
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

/// Lets the system find that a peer's host is gone or the path is silent.
void WatchPeer(tcp::socket& aSocket, Millis aUnacknowledged)
{
  if (aUnacknowledged.count() == 0) {
    return;
  }
  beast::error_code ec;
  aSocket.set_option(UserTimeout(static_cast<int>(aUnacknowledged.count())),
                     ec);
  aSocket.set_option(asio::socket_base::keep_alive(true), ec);
  aSocket.set_option(ProbeAfter(kProbeAfterSeconds), ec);
  aSocket.set_option(ProbeEvery(kProbeAfterSeconds), ec);
  aSocket.set_option(ProbeTries(kProbeTries), ec);
}

/// @returns how long a peer keeps an idle connection, by its answer
Millis IdleLimitOf(std::string_view aKeepAlive)
{
  constexpr std::string_view kTimeout = "timeout=";
  const auto at = aKeepAlive.find(kTimeout);
  if (at == std::string_view::npos) {
    return kKeptUnbounded;
  }
  const auto text = aKeepAlive.substr(at + kTimeout.size());
  int seconds = 0;
  const auto read =
    std::from_chars(text.data(), text.data() + text.size(), seconds);
  return read.ec == std::errc{} ? Seconds(seconds) - kIdleMargin
                                : kKeptUnbounded;
}

asio::awaitable<Connection> Connect(asio::any_io_executor aExecutor,
                                    HttpPoolState& aPool, Endpoint aEndpoint,
                                    const ExchangeOptions& aOptions,
                                    ExchangeResult& aResult)
{
  Connection out(new PooledConnection(aExecutor));
  beast::error_code ec;
  const auto address = asio::ip::make_address(aEndpoint.mAddress, ec);
  const auto started = Clock::now();
  out->mStream.expires_at(
    aOptions.mConnectTimeout.count() == 0
      ? aOptions.mDeadline
      : std::min(aOptions.mDeadline, started + aOptions.mConnectTimeout));
  co_await out->mStream.async_connect(
    tcp::endpoint(address, aEndpoint.mPort),
    asio::redirect_error(asio::use_awaitable, ec));
  if (ec) {
    aResult.mConnectFailed = true;
    aResult.mTimedOut = ec == beast::error::timeout;
    aResult.mCancelled = ec == asio::error::operation_aborted;
    aResult.mError = { "connect", aEndpoint.Text(), ec.message() };
    co_return nullptr;
  }
  aResult.mConnectTime = std::chrono::duration_cast<std::chrono::microseconds>(
    Clock::now() - started);
  out->mNumber = ++aPool.mLastNumber;
  out->mStream.socket().set_option(tcp::no_delay(true), ec);
  WatchPeer(out->mStream.socket(), aOptions.mUnacknowledged);
  co_return out;
}

HttpResponse TakeResponse(MessageParser<false>& aParser)
{
  return { aParser.mStatus, std::move(aParser.mHeaders),
           std::move(aParser.mBody) };
}

/// A request on its way, kept alive by a send that outlasts its answer.
struct Sending : boost::intrusive_ref_counter<Sending>
{
  explicit Sending(const asio::any_io_executor& aExecutor)
    : mEnded(aExecutor)
  {
  }

  std::string mHead;
  std::string mBody;
  Connection mConnection;
  beast::error_code mError;
  std::size_t mSent = 0;
  bool mDone = false;
  asio::steady_timer mEnded; ///< Cancelled when it is done.
};

asio::awaitable<void> Send(boost::intrusive_ptr<Sending> aSending)
{
  beast::error_code ec;
  const std::array<asio::const_buffer, 2> parts{
    asio::buffer(aSending->mHead), asio::buffer(aSending->mBody)
  };
  aSending->mSent =
    co_await asio::async_write(aSending->mConnection->mStream, parts,
                               asio::redirect_error(asio::use_awaitable, ec));
  aSending->mError = ec;
  aSending->mDone = true;
  aSending->mEnded.cancel();
}

/// Closes a connection unless it is kept.
class CloseGuard
{
public:
  explicit CloseGuard(Connection aConnection)
    : mConnection(std::move(aConnection))
  {
  }
  ~CloseGuard()
  {
    if (mConnection) {
      mConnection->mStream.close();
    }
  }
  CloseGuard(const CloseGuard&) = delete;
  CloseGuard& operator=(const CloseGuard&) = delete;
  CloseGuard(CloseGuard&&) = delete;
  CloseGuard& operator=(CloseGuard&&) = delete;

  [[nodiscard]] Connection Keep() { return std::move(mConnection); }

private:
  Connection mConnection;
};

using ResponseParser = MessageParser<false>;

/// What the ids in an answer say of it.
enum class AnswerTo {
  Request = 1, ///< It bears the request's id, and no other.
  Another,     ///< It belongs to an earlier request, or is interim.
  Unnamed,     ///< It bears no id.
};

AnswerTo JudgeIds(const ResponseParser& aParser,
                  const ExchangeOptions& aOptions)
{
  if (aParser.mStatus < 200) {
    return AnswerTo::Another;
  }
  auto out = AnswerTo::Unnamed;
  for (const auto& it : aParser.mHeaders) {
    if (aOptions.mAnswerIdName.empty() ||
        !SameName(it.mName, aOptions.mAnswerIdName)) {
      continue;
    }
    if (it.mValue != aOptions.mAnswerId) {
      return AnswerTo::Another;
    }
    out = AnswerTo::Request;
  }
  return out;
}

/// Notes that a connection carries a request.
void NoteRequest(PooledConnection& aConnection, const ExchangeOptions& aOptions,
                 ExchangeResult& aResult)
{
  aResult.mConnection = aConnection.mNumber;
  aResult.mExchange = aConnection.mExchanges++;
  if (!aOptions.mAnswerIdName.empty()) {
    NoteSent(aConnection.mSentIds, aOptions.mAnswerId);
  }
}

/// Reads answers until one belongs to the request.
asio::awaitable<beast::error_code> Receive(
  Connection aConnection, HttpPoolState& aPool, bool aHead,
  const ExchangeOptions& aOptions, std::optional<ResponseParser>& aParser,
  ExchangeResult& aResult)
{
  for (int n = 0; n <= kMaxLate; ++n) {
    aParser.emplace();
    aParser->header_limit(kMaxHeaderBytes);
    aParser->body_limit(aOptions.mMaxBodyBytes);
    aParser->skip(aHead);
    BufferedPart part(aPool.mBuffered);
    auto ec =
      co_await ReadMessage(aConnection->mStream, aConnection->mBuffer, *aParser,
                           ReadGoal::End, aOptions.mDeadline, part);
    if (!ec && !aHead && aParser->need_eof() && !aOptions.mUnframedBody) {
      // Nothing would tell a whole body from one that was cut short.
      ec = http::error::partial_message;
    }
    if (ec) {
      co_return ec;
    }
    const auto answerTo = JudgeIds(*aParser, aOptions);
    if (answerTo != AnswerTo::Another) {
      aResult.mNamesRequest = answerTo == AnswerTo::Request;
      co_return ec;
    }
    aResult.mLate.push_back({ std::move(aParser->mHeaders), Clock::now() });
  }
  co_return http::error::unexpected_body;
}

/// Checks the end of a connection that ends its answer's body.
/// @returns an error where a part of the body may be missing
asio::awaitable<beast::error_code> CheckEnd(
  boost::intrusive_ptr<Sending> aSending)
{
  const auto end = ReadStreamEnd(aSending->mConnection->mStream.socket());
  if (!end.mHalfClosed && !end.mPending && !aSending->mDone) {
    beast::error_code ec;
    aSending->mEnded.expires_after(kSendEnds);
    co_await aSending->mEnded.async_wait(
      asio::redirect_error(asio::use_awaitable, ec));
    if (ec && !aSending->mDone) {
      co_return ec;
    }
  }
  co_return EndedInOrder(end, aSending->mError)
    ? beast::error_code()
    : beast::error_code(http::error::partial_message);
}

Error ErrorOf(const char* aStep, const Endpoint& aEndpoint,
              const beast::error_code& aError)
{
  return { aStep, aEndpoint.Text(), aError.message() };
}

} // namespace

asio::awaitable<ExchangeResult> HttpClient::Exchange(Endpoint aEndpoint,
                                                     HttpRequest aRequest,
                                                     ExchangeOptions aOptions)
{
  ExchangeResult result;
  const auto pool = mPool;
  // A late answer is framed as the own one is: answers to HEAD, which have no
  // body, share no connection with others.
  const bool head = aRequest.mMethod == "HEAD";
  auto connection =
    head ? nullptr
         : pool->Take(aEndpoint, aOptions, result.mPassedOver, Clock::now());
  result.mReused = connection != nullptr;
  if (!connection) {
    connection =
      co_await Connect(mExecutor, *pool, aEndpoint, aOptions, result);
    if (!connection) {
      co_return result;
    }
  }
  NoteRequest(*connection, aOptions, result);
  CloseGuard guard(connection);
  const bool small = aRequest.mBody.size() <= kSmallBody;
  boost::intrusive_ptr<Sending> sending(new Sending(mExecutor));
  sending->mHead = RequestHead(aRequest, aEndpoint.Text());
  sending->mBody = std::move(aRequest.mBody);
  sending->mConnection = connection;
  auto& stream = connection->mStream;
  stream.expires_at(aOptions.mDeadline);
  result.mMayHaveReached = true;
  if (small) {
    co_await Send(sending);
    if (sending->mError) {
      result.mMayHaveReached = sending->mSent > 0;
      result.mTimedOut = sending->mError == beast::error::timeout;
      result.mCancelled = sending->mError == asio::error::operation_aborted;
      result.mError = ErrorOf("send", aEndpoint, sending->mError);
      co_return result;
    }
  } else {
    asio::co_spawn(mExecutor, Send(sending), asio::detached);
  }
  std::optional<ResponseParser> parser;
  auto ec = co_await Receive(connection, *pool, head, aOptions, parser, result);
  if (!ec && !head && parser->need_eof()) {
    ec = co_await CheckEnd(sending);
  }
  if (ec) {
    const bool unsent = sending->mDone && sending->mError;
    result.mTimedOut = ec == beast::error::timeout;
    result.mAnswerBegan = parser->is_header_done();
    result.mCancelled = ec == asio::error::operation_aborted;
    result.mError = ErrorOf(unsent ? "send" : "receive", aEndpoint,
                            unsent ? sending->mError : ec);
    co_return result;
  }
  const bool whole = sending->mDone && !sending->mError;
  const bool named = aOptions.mAnswerIdName.empty() || result.mNamesRequest;
  const bool keep = whole && named && !head && !parser->need_eof() &&
                    parser->keep_alive() && !IsFull(connection->mSentIds);
  result.mResponse = TakeResponse(*parser);
  if (keep && connection->mBuffer.size() == 0) {
    stream.expires_never();
    connection->mProven = Clock::now();
    connection->mIdleLimit =
      IdleLimitOf(FindHeader(result.mResponse->mHeaders, "Keep-Alive"));
    pool->Keep(aEndpoint, guard.Keep());
  }
  co_return result;
}

asio::awaitable<ExchangeResult> HttpClient::OpenSpare(Endpoint aEndpoint,
                                                      ExchangeOptions aOptions)
{
  ExchangeResult out;
  const auto pool = mPool;
  auto connection =
    co_await Connect(mExecutor, *pool, aEndpoint, aOptions, out);
  if (connection) {
    connection->mStream.expires_never();
    connection->mProven = Clock::now();
    pool->Keep(aEndpoint, std::move(connection));
  }
  co_return out;
}

bool HttpClient::HasOpen(const Endpoint& aEndpoint) const
{
  const auto it = mPool->mIdle.find(HttpPoolState::Key(aEndpoint));
  return it != mPool->mIdle.end() &&
         std::any_of(
           it->second.begin(), it->second.end(),
           [](PooledConnection& a) { return StillQuiet(a.mStream.socket()); });
}

bool HttpClient::HasFresh(const Endpoint& aEndpoint, Millis aWithin,
                          TimePoint aNow) const
{
  const auto it = mPool->mIdle.find(HttpPoolState::Key(aEndpoint));
  // The connection proven live last comes first.
  return it != mPool->mIdle.end() && !it->second.empty() &&
         aNow - it->second.front().mProven <= aWithin &&
         aNow - it->second.front().mProven < it->second.front().mIdleLimit;
}

void HttpClient::SetMostBuffered(std::uint64_t aBytes)
{
  mPool->mBuffered.mMost = aBytes;
}

std::uint64_t HttpClient::Buffered() const
{
  return mPool->mBuffered.mNow;
}

void HttpClient::DropExpired(TimePoint aNow)
{
  mPool->DropExpired(aNow);
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
