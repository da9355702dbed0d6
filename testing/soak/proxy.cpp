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

namespace guavaline::testing {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using Ignore = boost::system::error_code;

namespace {

constexpr std::size_t kPiece = 16'384;

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
        continue;
      }
      co_await asio::async_write(aTo, asio::buffer(buf.data(), n),
                                 asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        break;
      }
    }
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
