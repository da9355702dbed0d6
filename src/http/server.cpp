#include "http/server.hpp"

#include "daemon/event_loop.hpp"
#include "daemon/log.hpp"
#include "http/listen.hpp"
#include "http/message_head.hpp"
#include "http/message_parser.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/json.hpp>

#include <netinet/tcp.h>

#include <array>

namespace guavaline::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kPeekBytes = 1;
constexpr std::size_t kFirstReadBytes = 4'096;
/// Status that is never sent: the caller closed its connection.
constexpr unsigned kCallerLeft = 499;
/// Room for a chunk's head and for trailers beside the largest header.
constexpr std::size_t kMaxUnparsedBeyondHeader = 65'536;
/// A read buffer that has grown larger is given back after its request.
constexpr std::size_t kMaxKeptBuffer = 65'536;
/// What the system holds of an answer that its caller has no room for. Without
/// this bound it takes several megabytes a connection.
constexpr int kMaxUnsentInSystem = 131'072;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

using UnsentInSystem =
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;

using UserTimeout =
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

unsigned StatusFor(const beast::error_code& aError)
{
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return 431;
  }
  if (aError == asio::error::no_buffer_space) {
    return 503;
  }
  return aError == http::error::body_limit ? 413 : 400;
}

HttpResponse NoCaller()
{
  HttpResponse out;
  out.mStatus = kCallerLeft;
  return out;
}

/// The request may have been passed on: the answer promises nothing.
HttpResponse HandlerFailed(const std::exception& aError)
{
  LogBounded(LogClass::Failure, LogLevel::Error, "request_handler_failed",
             { { "error", aError.what() } });
  HttpResponse out;
  out.mStatus = 500;
  return out;
}

asio::awaitable<HttpResponse> CallHandler(const HttpHandler& aHandler,
                                          HttpRequest aRequest)
{
  try {
    co_return co_await aHandler(std::move(aRequest));
  } catch (const boost::system::system_error& e) {
    if (e.code() == asio::error::operation_aborted) {
      // Cancelled because the caller left; there is nobody to answer.
      co_return NoCaller();
    }
    co_return HandlerFailed(e);
  } catch (const std::exception& e) {
    co_return HandlerFailed(e);
  }
}

HttpResponse Refuse(unsigned aStatus, const std::string& aReason)
{
  auto out = JsonResponse(aStatus, boost::json::serialize(boost::json::object{
                                     { "ran", "no" }, { "reason", aReason } }));
  out.mHeaders.push_back({ "Guavaline-Ran", "no" });
  return out;
}

} // namespace

namespace {

/// Adds to a count while it lives, also where a coroutine ends by an error.
template<class T>
class Counted
{
public:
  Counted(T& aCount, T aAmount)
    : mCount(aCount)
    , mAmount(aAmount)
  {
    mCount += mAmount;
  }
  ~Counted() { mCount -= mAmount; }
  Counted(const Counted&) = delete;
  Counted& operator=(const Counted&) = delete;
  Counted(Counted&&) = delete;
  Counted& operator=(Counted&&) = delete;

private:
  T& mCount;
  T mAmount;
};

} // namespace

/// One connection; linked into its server while it lives.
class HttpConnection
  : public boost::intrusive_ref_counter<HttpConnection>
  , public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  HttpConnection(tcp::socket aSocket, boost::intrusive_ptr<HttpServerState> a);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;
  HttpConnection(HttpConnection&&) = delete;
  HttpConnection& operator=(HttpConnection&&) = delete;

  asio::awaitable<void> Run();
  void CloseIfIdle();
  void Cut();
  /// Ends an answer that its caller does not take.
  void Abandon(const char* aReason);

  [[nodiscard]] std::uint64_t Unsent() const noexcept { return mUnsent; }
  [[nodiscard]] TimePoint AnswerStarted() const noexcept
  {
    return mAnswerStarted;
  }

private:
  using RequestParser = MessageParser<true>;

  asio::awaitable<bool> ServeOne();
  asio::awaitable<beast::error_code> ReadRequest(RequestParser& aParser,
                                                 BufferedPart& aPart);
  asio::awaitable<bool> AwaitBytes();
  asio::awaitable<void> RefuseBroken(beast::error_code aError);
  asio::awaitable<void> Continue();
  asio::awaitable<bool> AnswerRequest(RequestParser& aParser);
  asio::awaitable<void> Answer(HttpResponse aResponse, bool aKeepAlive,
                               bool aHead);
  void StartAnswer(std::uint64_t aBytes);
  void EndAnswer() noexcept;
  asio::awaitable<HttpResponse> Handle(HttpRequest aRequest);
  asio::awaitable<void> UntilCallerLeaves();

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  boost::intrusive_ptr<HttpServerState> mServer;
  bool mBusy = false;
  std::uint64_t mId = 0;
  TimePoint mArrived{};      ///< When the present request's header was read.
  std::uint64_t mUnsent = 0; ///< Bytes of the answer that is being sent.
  TimePoint mAnswerStarted{};
};

class HttpServerState : public boost::intrusive_ref_counter<HttpServerState>
{
public:
  HttpServerState(asio::io_context& aContext, HttpHandler aHandler,
                  const HttpServerLimits& aLimits)
    : mAcceptor(aContext)
    , mHandler(std::move(aHandler))
  {
    SetLimits(aLimits);
  }

  void SetLimits(const HttpServerLimits& aLimits)
  {
    mLimits = aLimits;
    mBuffered.mMost = aLimits.mMaxBufferedBytes;
  }

  /// Makes room for an answer. Those that have been under way longest give way:
  /// their callers read slowest, and others do not wait for them.
  void MakeRoom(std::uint64_t aBytes)
  {
    while (mUnsent > 0 && mUnsent + aBytes > mLimits.mMaxUnsentBytes) {
      HttpConnection* oldest = nullptr;
      for (auto& it : mConnections) {
        if (it.Unsent() > 0 &&
            (!oldest || it.AnswerStarted() < oldest->AnswerStarted())) {
          oldest = &it;
        }
      }
      if (!oldest) {
        return;
      }
      oldest->Abandon("no_room");
    }
  }

  tcp::acceptor mAcceptor;
  HttpHandler mHandler;
  HttpServerLimits mLimits;
  boost::intrusive::list<HttpConnection,
                         boost::intrusive::constant_time_size<false>>
    mConnections;
  std::size_t mOpen = 0;
  std::size_t mInFlight = 0;
  BufferedBytes mBuffered;   ///< Requests that are being read or answered.
  std::uint64_t mUnsent = 0; ///< Of answers that are being sent.
  std::uint64_t mLastId = 0;
  bool mDraining = false;
};

HttpConnection::HttpConnection(tcp::socket aSocket,
                               boost::intrusive_ptr<HttpServerState> a)
  : mStream(std::move(aSocket))
  , mServer(std::move(a))
{
  mId = ++mServer->mLastId;
}

HttpConnection::~HttpConnection()
{
  EndAnswer();
}

void HttpConnection::CloseIfIdle()
{
  if (!mBusy) {
    Cut();
  }
}

void HttpConnection::Cut()
{
  beast::error_code ec;
  mStream.socket().shutdown(tcp::socket::shutdown_both, ec);
  mStream.close();
}

void HttpConnection::Abandon(const char* aReason)
{
  LogBounded(LogClass::Failure, LogLevel::Info, "answer_not_taken",
             { { "reason", aReason },
               { "connection", std::to_string(mId) },
               { "bytes", std::to_string(mUnsent) },
               { "ms", MillisText(std::chrono::duration_cast<Millis>(
                         Clock::now() - mAnswerStarted)) } });
  EndAnswer();
  // A mere close leaves the system with what is unsent.
  beast::error_code ec;
  mStream.socket().set_option(asio::socket_base::linger(true, 0), ec);
  mStream.close();
}

void HttpConnection::StartAnswer(std::uint64_t aBytes)
{
  mServer->MakeRoom(aBytes);
  mUnsent = aBytes;
  mServer->mUnsent += aBytes;
  mAnswerStarted = Clock::now();
}

void HttpConnection::EndAnswer() noexcept
{
  mServer->mUnsent -= mUnsent;
  mUnsent = 0;
}

asio::awaitable<void> HttpConnection::Run()
{
  bool more = true;
  while (more) {
    more = co_await ServeOne();
  }
  beast::error_code ec;
  mStream.socket().shutdown(tcp::socket::shutdown_send, ec);
}

asio::awaitable<void> HttpConnection::UntilCallerLeaves()
{
  beast::error_code ec;
  while (!ec) {
    co_await mStream.socket().async_wait(
      tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      break;
    }
    char buf = 0;
    const auto n = mStream.socket().receive(asio::buffer(&buf, kPeekBytes),
                                            tcp::socket::message_peek, ec);
    if (ec || n == 0) {
      co_return;
    }
    // Bytes of a further request wait; watch no more until this is answered.
    asio::steady_timer never(mStream.get_executor(),
                             asio::steady_timer::time_point::max());
    co_await never.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
}

asio::awaitable<HttpResponse> HttpConnection::Handle(HttpRequest aRequest)
{
  using namespace asio::experimental::awaitable_operators;
  auto result = co_await (CallHandler(mServer->mHandler, std::move(aRequest)) ||
                          UntilCallerLeaves());
  if (result.index() == 0) {
    co_return std::get<0>(std::move(result));
  }
  // The caller closed the connection: the handler was cancelled.
  co_return NoCaller();
}

asio::awaitable<void> HttpConnection::Answer(HttpResponse aResponse,
                                             bool aKeepAlive, bool aHead)
{
  const auto head = ResponseHead(aResponse, aKeepAlive, aHead);
  const bool bodiless = aHead || IsBodiless(aResponse.mStatus);
  const std::array<asio::const_buffer, 2> parts{
    asio::buffer(head),
    bodiless ? asio::const_buffer() : asio::buffer(aResponse.mBody)
  };
  StartAnswer(asio::buffer_size(parts));
  beast::error_code ec;
  mStream.expires_after(mServer->mLimits.mSendTimeout);
  co_await asio::async_write(mStream, parts,
                             asio::redirect_error(asio::use_awaitable, ec));
  if (ec == beast::error::timeout) {
    Abandon("timeout");
  } else if (ec) {
    Cut();
  }
  EndAnswer();
}

asio::awaitable<bool> HttpConnection::AwaitBytes()
{
  beast::error_code ec;
  if (mBuffer.size() == 0) {
    mStream.expires_after(mServer->mLimits.mIdleTimeout);
    const auto n = co_await mStream.async_read_some(
      mBuffer.prepare(kFirstReadBytes),
      asio::redirect_error(asio::use_awaitable, ec));
    mBuffer.commit(n);
  }
  co_return !ec;
}

asio::awaitable<void> HttpConnection::RefuseBroken(beast::error_code aError)
{
  const bool gone = aError == http::error::end_of_stream ||
                    aError == http::error::partial_message ||
                    aError == beast::error::timeout;
  if (!gone) {
    co_await Answer(
      Refuse(StatusFor(aError), "request cannot be read: " + aError.message()),
      false, false);
  }
}

asio::awaitable<void> HttpConnection::Continue()
{
  beast::error_code ec;
  co_await asio::async_write(mStream, asio::buffer(kContinue),
                             asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<beast::error_code> HttpConnection::ReadRequest(
  RequestParser& aParser, BufferedPart& aPart)
{
  const auto limits = mServer->mLimits;
  mBuffer.max_size(limits.mMaxHeaderBytes + kMaxUnparsedBeyondHeader);
  aParser.header_limit(limits.mMaxHeaderBytes);
  aParser.body_limit(limits.mMaxBodyBytes);
  auto ec = co_await ReadMessage(mStream, mBuffer, aParser, ReadGoal::Header,
                                 Clock::now() + limits.mHeaderTimeout, aPart);
  if (ec) {
    co_return ec;
  }
  mArrived = Clock::now();
  if (!aPart.GrowTo(aParser.content_length().value_or(0))) {
    co_return asio::error::no_buffer_space;
  }
  if (SameName(FindHeader(aParser.mHeaders, "Expect"), "100-continue")) {
    co_await Continue();
  }
  co_return co_await ReadMessage(mStream, mBuffer, aParser, ReadGoal::End,
                                 mArrived + limits.mReceiveTimeout, aPart);
}

asio::awaitable<bool> HttpConnection::ServeOne()
{
  if (!co_await AwaitBytes()) {
    co_return false;
  }
  mBusy = true;
  RequestParser parser;
  BufferedPart part(mServer->mBuffered);
  const auto ec = co_await ReadRequest(parser, part);
  bool keep = false;
  if (ec) {
    co_await RefuseBroken(ec);
  } else {
    keep = co_await AnswerRequest(parser);
  }
  if (mBuffer.size() == 0 && mBuffer.capacity() > kMaxKeptBuffer) {
    mBuffer.shrink_to_fit();
  }
  mBusy = false;
  co_return keep;
}

asio::awaitable<bool> HttpConnection::AnswerRequest(RequestParser& aParser)
{
  HttpRequest request;
  request.mMethod = std::move(aParser.mMethod);
  request.mTarget = std::move(aParser.mTarget);
  request.mHeaders = std::move(aParser.mHeaders);
  request.mBody = std::move(aParser.mBody);
  request.mConnection = mId;
  request.mArrived = mArrived;
  const bool head = request.mMethod == "HEAD";
  const Counted<std::size_t> inFlight(mServer->mInFlight, 1);
  mStream.expires_never();
  auto response = co_await Handle(std::move(request));
  const bool present = response.mStatus != kCallerLeft;
  const bool keep = present && aParser.keep_alive() && !mServer->mDraining;
  if (present) {
    co_await Answer(std::move(response), keep, head);
  }
  co_return keep&& mStream.socket().is_open();
}

namespace {

asio::awaitable<void> RunConnection(
  boost::intrusive_ptr<HttpConnection> a,
  boost::intrusive_ptr<HttpServerState> aServer)
{
  const Counted<std::size_t> open(aServer->mOpen, 1);
  try {
    co_await a->Run();
  } catch (const std::exception& e) {
    LogBounded(LogClass::Failure, LogLevel::Warning, "connection_failed",
               { { "error", e.what() } });
    a->Cut();
  }
}

asio::awaitable<void> AcceptAll(boost::intrusive_ptr<HttpServerState> aServer)
{
  while (aServer->mAcceptor.is_open()) {
    beast::error_code ec;
    auto socket = co_await aServer->mAcceptor.async_accept(
      asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (ec) {
      asio::steady_timer pause(aServer->mAcceptor.get_executor(),
                               std::chrono::milliseconds(50));
      co_await pause.async_wait(asio::use_awaitable);
      continue;
    }
    if (aServer->mOpen >= aServer->mLimits.mMaxConnections) {
      socket.close(ec);
      continue;
    }
    socket.set_option(tcp::no_delay(true), ec);
    socket.set_option(UnsentInSystem(kMaxUnsentInSystem), ec);
    // Also ends what the system still holds of an answer after the close.
    socket.set_option(
      UserTimeout(static_cast<int>(aServer->mLimits.mSendTimeout.count())), ec);
    const auto executor = socket.get_executor();
    boost::intrusive_ptr<HttpConnection> connection(
      new HttpConnection(std::move(socket), aServer));
    aServer->mConnections.push_back(*connection);
    asio::co_spawn(executor, RunConnection(std::move(connection), aServer),
                   asio::detached);
  }
}

} // namespace

HttpServer::HttpServer() = default;

HttpServer::~HttpServer()
{
  Close();
}

std::string HttpServer::Listen(asio::io_context& aContext,
                               const std::string& aAddress, std::uint16_t aPort,
                               HttpHandler aHandler,
                               const HttpServerLimits& aLimits)
{
  mState.reset(new HttpServerState(aContext, std::move(aHandler), aLimits));
  auto problem = ListenOn(mState->mAcceptor, aAddress, aPort);
  if (!problem.empty()) {
    return problem;
  }
  SpawnLasting(aContext.get_executor(), "accept",
               [state = mState] { return AcceptAll(state); });
  return {};
}

std::uint16_t HttpServer::Port() const noexcept
{
  beast::error_code ec;
  return mState->mAcceptor.local_endpoint(ec).port();
}

void HttpServer::SetLimits(const HttpServerLimits& aLimits)
{
  mState->SetLimits(aLimits);
}

void HttpServer::CloseAfterAnswers()
{
  mState->mDraining = true;
}

void HttpServer::Drain()
{
  mState->mDraining = true;
  for (auto it = mState->mConnections.begin();
       it != mState->mConnections.end();) {
    auto& connection = *it++;
    connection.CloseIfIdle();
  }
}

void HttpServer::StopListening()
{
  if (mState) {
    beast::error_code ec;
    mState->mAcceptor.close(ec);
  }
}

void HttpServer::Close()
{
  StopListening();
  if (!mState) {
    return;
  }
  for (auto it = mState->mConnections.begin();
       it != mState->mConnections.end();) {
    auto& connection = *it++;
    connection.Cut();
  }
}

std::uint64_t HttpServer::Unsent() const noexcept
{
  return mState ? mState->mUnsent : 0;
}

std::size_t HttpServer::InFlight() const noexcept
{
  return mState ? mState->mInFlight : 0;
}

} // namespace guavaline::detail
