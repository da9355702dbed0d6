#include "cutting_target.hpp"

#include "http/listen.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <thread>

namespace guavaline::tests {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

/// Segments and buffers as small as those of a network: with the segments of
/// loopback the system takes the whole upload at once.
constexpr int kSegment = 1'400;
constexpr int kReceiveBuffer = 8'192;
constexpr std::size_t kReadBytes = 2'000;
constexpr auto kReadGap = 5ms;
constexpr auto kUnreadFor = 1s;
constexpr int kStandstills = 50;

using MaxSegment =
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;

asio::awaitable<void> Wait(asio::io_context& aContext,
                           std::chrono::milliseconds aTime)
{
  asio::steady_timer timer(aContext, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> ReadToEnd(tcp::socket& aSocket)
{
  boost::system::error_code ec;
  std::string buf(kReadBytes, ' ');
  while (!ec) {
    co_await aSocket.async_read_some(
      asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
  }
}

bool IsFinAcknowledged(tcp::socket& aSocket)
{
  tcp_info info{};
  socklen_t size = sizeof info;
  ::getsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  return info.tcpi_state != TCP_FIN_WAIT1;
}

/// Ends the own side, and waits until the peer's system has all of it: a reset
/// that comes of the close must not take a part of it back. At first the event
/// loop stands still, so that the client meets the end and the reset at once.
asio::awaitable<void> EndInOrder(asio::io_context& aContext,
                                 tcp::socket& aSocket)
{
  boost::system::error_code ec;
  aSocket.shutdown(tcp::socket::shutdown_send, ec);
  for (int n = 0; n < kStandstills && !IsFinAcknowledged(aSocket); ++n) {
    std::this_thread::sleep_for(100us);
  }
  while (!ec && !IsFinAcknowledged(aSocket)) {
    co_await Wait(aContext, 1ms);
  }
}

} // namespace

CuttingTarget::CuttingTarget(asio::io_context& aContext,
                             std::function<CutPlan(int n)> aPlan)
  : mContext(aContext)
  , mPlan(std::move(aPlan))
  , mAcceptor(aContext)
{
  (void)detail::ListenOn(mAcceptor, "127.0.0.1", 0);
  mAcceptor.set_option(MaxSegment(kSegment));
  mAcceptor.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer));
  mPort = mAcceptor.local_endpoint().port();
  asio::co_spawn(aContext, Accept(), asio::detached);
}

asio::awaitable<void> CuttingTarget::Accept()
{
  while (true) {
    boost::system::error_code ec;
    auto socket = co_await mAcceptor.async_accept(
      asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    asio::co_spawn(mContext, Serve(std::move(socket), mPlan(mConnections++)),
                   asio::detached);
  }
}

asio::awaitable<void> CuttingTarget::Serve(tcp::socket aSocket, CutPlan aPlan)
{
  boost::system::error_code ec;
  std::string buf;
  co_await asio::async_read_until(
    aSocket, asio::dynamic_buffer(buf), "\r\n\r\n",
    asio::redirect_error(asio::use_awaitable, ec));
  const auto answer = "HTTP/1.1 200 OK\r\n" + aPlan.mFields + "\r\n" +
                      std::string(aPlan.mBodyBytes, 'b');
  co_await asio::async_write(aSocket, asio::buffer(answer),
                             asio::redirect_error(asio::use_awaitable, ec));
  if (aPlan.mReadsOn) {
    buf.resize(kReadBytes);
    for (auto left = aPlan.mDelay; left > 0ms; left -= kReadGap) {
      co_await Wait(mContext, kReadGap);
      aSocket.non_blocking(true, ec);
      aSocket.read_some(asio::buffer(buf), ec);
    }
  } else {
    co_await Wait(mContext, aPlan.mDelay);
  }
  switch (aPlan.mManner) {
    case CutManner::Reset:
      aSocket.set_option(asio::socket_base::linger(true, 0), ec);
      break;
    case CutManner::Close:
      co_await EndInOrder(mContext, aSocket);
      break;
    case CutManner::HalfClose:
      co_await EndInOrder(mContext, aSocket);
      co_await ReadToEnd(aSocket);
      break;
    case CutManner::HalfCloseUnread:
      co_await EndInOrder(mContext, aSocket);
      co_await Wait(mContext, kUnreadFor);
      break;
  }
  aSocket.close(ec);
}

} // namespace guavaline::tests
