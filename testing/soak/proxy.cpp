#include "soak/proxy.hpp"

#include "http/listen.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <array>
#include <deque>
#include <string>
#include <string_view>

namespace guavaline::testing {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using Ignore = boost::system::error_code;

namespace {

constexpr std::size_t kPiece = 16'384;
constexpr std::size_t kMaxRefusals = 64; ///< Remembered a connection.
/// One refusal in this many comes again at any time.
constexpr std::uint64_t kRefusalsPerStray = 4;
constexpr std::uint64_t kMaxStrayMs = 300;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

/// @returns a header's value in the head that a piece begins with, or nothing
std::string_view HeaderOf(std::string_view aPiece, std::string_view aName)
{
  const auto head = aPiece.substr(0, aPiece.find(kHeadEnd));
  const auto at = head.find("\r\n" + std::string(aName) + ": ");
  if (at == std::string_view::npos) {
    return {};
  }
  const auto value = head.substr(at + aName.size() + 4);
  return value.substr(0, value.find("\r\n"));
}

/// @returns true for a piece that is one whole answer
bool IsWholeAnswer(std::string_view aPiece)
{
  const auto end = aPiece.find(kHeadEnd);
  return aPiece.starts_with("HTTP/1.1 ") && end != std::string_view::npos &&
         std::to_string(aPiece.size() - end - kHeadEnd.size()) ==
           HeaderOf(aPiece, "Content-Length");
}

/// @returns true for an answer that promises that the request has not run
bool IsRefusal(std::string_view aPiece)
{
  const bool marked = !HeaderOf(aPiece, "X-Not-Executed").empty();
  return aPiece.starts_with("HTTP/1.1 421") ||
         (marked && (aPiece.starts_with("HTTP/1.1 503") ||
                     aPiece.starts_with("HTTP/1.1 429")));
}

} // namespace

/// One connection through the proxy.
class ProxyConnection : public boost::intrusive_ref_counter<ProxyConnection>
{
public:
  ProxyConnection(SoakProxy& aProxy, tcp::socket aCaller)
    : mProxy(aProxy)
    , mCaller(std::move(aCaller))
    , mServer(aProxy.mContext)
  {
    mProxy.mConnections.insert(this);
  }
  ~ProxyConnection() { mProxy.mConnections.erase(this); }
  ProxyConnection(const ProxyConnection&) = delete;
  ProxyConnection& operator=(const ProxyConnection&) = delete;
  ProxyConnection(ProxyConnection&&) = delete;
  ProxyConnection& operator=(ProxyConnection&&) = delete;

  void Reset()
  {
    Ignore ec;
    mCaller.set_option(asio::socket_base::linger(true, 0), ec);
    mServer.set_option(asio::socket_base::linger(true, 0), ec);
    mCaller.close(ec);
    mServer.close(ec);
  }

  void Silence() noexcept { mSilent = true; }

  /// A piece that is about to be carried on.
  void Before(std::string_view aPiece, const tcp::socket& aTo)
  {
    if (&aTo == &mCaller) {
      mBetweenAnswers = false;
      return;
    }
    const auto id = HeaderOf(aPiece, "X-Request-Id");
    if (id.empty()) {
      return;
    }
    mUnderWay = id;
    for (const auto& it : mRefusals) {
      if (it.mId == mUnderWay) {
        WriteCopy(it);
        return;
      }
    }
  }

  /// A piece that was carried on whole.
  void After(std::string_view aPiece, const tcp::socket& aTo)
  {
    if (&aTo != &mCaller || !IsWholeAnswer(aPiece)) {
      return;
    }
    mBetweenAnswers = true;
    mUnderWay.clear();
    const auto id = HeaderOf(aPiece, "X-Request-Id");
    if (!mProxy.mCopying || id.empty() || !IsRefusal(aPiece)) {
      return;
    }
    mRefusals.push_back({ std::string(id), std::string(aPiece) });
    if (mRefusals.size() > kMaxRefusals) {
      mRefusals.pop_front();
    }
    if (mProxy.mRandom() % kRefusalsPerStray == 0) {
      asio::co_spawn(
        mProxy.mContext,
        WriteLater(
          boost::intrusive_ptr<ProxyConnection>(this), mRefusals.back(),
          Millis(static_cast<Millis::rep>(mProxy.mRandom() % kMaxStrayMs))),
        asio::detached);
    }
  }

  /// Carries bytes one way until that way ends.
  asio::awaitable<void> Pump(tcp::socket& aFrom, tcp::socket& aTo,
                             bool ProxyFaults::*aDrop)
  {
    std::array<char, kPiece> buf{};
    Ignore ec;
    bool lost = false;
    while (true) {
      const auto n = co_await aFrom.async_read_some(
        asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        break;
      }
      if (mProxy.mFaults.mDelay.count() > 0) {
        asio::steady_timer timer(mProxy.mContext, mProxy.mFaults.mDelay);
        co_await timer.async_wait(asio::use_awaitable);
      }
      // What follows lost bytes must not be delivered in their place.
      lost = lost || mSilent || mProxy.mFaults.*aDrop;
      if (lost) {
        mBetweenAnswers = mBetweenAnswers && &aTo != &mCaller;
        continue;
      }
      Before({ buf.data(), n }, aTo);
      co_await asio::async_write(aTo, asio::buffer(buf.data(), n),
                                 asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        break;
      }
      After({ buf.data(), n }, aTo);
    }
    mBetweenAnswers = mBetweenAnswers && &aTo != &mCaller;
    if (lost || mSilent) {
      co_return;
    }
    if (ec == asio::error::eof) {
      aTo.shutdown(tcp::socket::shutdown_send, ec);
    } else {
      Reset();
    }
  }

  SoakProxy& mProxy;
  tcp::socket mCaller;
  tcp::socket mServer;
  bool mSilent = false;

private:
  struct Refusal
  {
    std::string mId;
    std::string mBytes;
  };

  /// Writes a copy unless it would come into an answer or after lost bytes.
  void WriteCopy(const Refusal& aRefusal)
  {
    if (!mProxy.mCopying || !mBetweenAnswers || mSilent ||
        mProxy.mFaults.mDropToCaller) {
      return;
    }
    Ignore ec;
    mCaller.non_blocking(true, ec);
    const auto n = mCaller.write_some(asio::buffer(aRefusal.mBytes), ec);
    if (ec) {
      return;
    }
    if (n < aRefusal.mBytes.size()) {
      return Reset();
    }
    ++(aRefusal.mId == mUnderWay ? mProxy.mCopies.mMet
                                 : mProxy.mCopies.mOthers);
  }

  static asio::awaitable<void> WriteLater(
    boost::intrusive_ptr<ProxyConnection> aConnection, Refusal aRefusal,
    Millis aWait)
  {
    asio::steady_timer timer(aConnection->mProxy.mContext, aWait);
    co_await timer.async_wait(asio::use_awaitable);
    aConnection->WriteCopy(aRefusal);
  }

  std::deque<Refusal> mRefusals;
  std::string mUnderWay; ///< Id of the request that awaits its answer.
  bool mBetweenAnswers = false;
};

namespace {

using ConnectionPtr = boost::intrusive_ptr<ProxyConnection>;

asio::awaitable<void> ToServer(ConnectionPtr aConnection)
{
  co_await aConnection->Pump(aConnection->mCaller, aConnection->mServer,
                             &ProxyFaults::mDropToServer);
}

asio::awaitable<void> ToCaller(ConnectionPtr aConnection)
{
  co_await aConnection->Pump(aConnection->mServer, aConnection->mCaller,
                             &ProxyFaults::mDropToCaller);
}

asio::awaitable<void> Join(asio::io_context& aContext,
                           ConnectionPtr aConnection, tcp::endpoint aServer)
{
  Ignore ec;
  co_await aConnection->mServer.async_connect(
    aServer, asio::redirect_error(asio::use_awaitable, ec));
  if (ec) {
    aConnection->Reset();
    co_return;
  }
  aConnection->mServer.set_option(tcp::no_delay(true), ec);
  asio::co_spawn(aContext, ToServer(aConnection), asio::detached);
  asio::co_spawn(aContext, ToCaller(aConnection), asio::detached);
}

} // namespace

SoakProxy::SoakProxy(asio::io_context& aContext, detail::Endpoint aServer)
  : mContext(aContext)
  , mServer(std::move(aServer))
  , mAcceptor(aContext)
{
}

SoakProxy::~SoakProxy() = default;

std::string SoakProxy::Listen(const detail::Endpoint& aWhere)
{
  auto problem = detail::ListenOn(mAcceptor, aWhere.mAddress, aWhere.mPort);
  if (problem.empty()) {
    asio::co_spawn(mContext, Accept(), asio::detached);
  }
  return problem;
}

asio::awaitable<void> SoakProxy::Accept()
{
  while (true) {
    Ignore ec;
    auto socket = co_await mAcceptor.async_accept(
      asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    socket.set_option(tcp::no_delay(true), ec);
    ConnectionPtr connection(new ProxyConnection(*this, std::move(socket)));
    if (mFaults.mRefuse) {
      connection->Reset();
      continue;
    }
    const tcp::endpoint server(asio::ip::make_address(mServer.mAddress),
                               mServer.mPort);
    asio::co_spawn(mContext, Join(mContext, connection, server),
                   asio::detached);
  }
}

void SoakProxy::StopListening()
{
  Ignore ec;
  mAcceptor.close(ec);
}

void SoakProxy::Close()
{
  StopListening();
  ResetAll();
}

void SoakProxy::ResetAll()
{
  for (auto* it : mConnections) {
    it->Reset();
  }
}

void SoakProxy::SilenceAll()
{
  for (auto* it : mConnections) {
    it->Silence();
  }
}

} // namespace guavaline::testing
