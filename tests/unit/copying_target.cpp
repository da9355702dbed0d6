#include "copying_target.hpp"

#include "http/listen.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace guavaline::tests {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

std::string IdOf(const std::string& aHead)
{
  constexpr std::string_view kName = "\r\nId: ";
  const auto at = aHead.find(kName) + kName.size();
  return aHead.substr(at, aHead.find("\r\n", at) - at);
}

asio::awaitable<void> Write(tcp::socket& aSocket, const std::string& aBytes)
{
  boost::system::error_code ec;
  co_await asio::async_write(aSocket, asio::buffer(aBytes),
                             asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> Wait(asio::io_context& aContext,
                           std::chrono::milliseconds aTime)
{
  asio::steady_timer timer(aContext, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

CopyingTarget::CopyingTarget(asio::io_context& aContext,
                             CopyingOptions aOptions)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mAcceptor(aContext)
{
  (void)detail::ListenOn(mAcceptor, "127.0.0.1", 0);
  mPort = mAcceptor.local_endpoint().port();
  asio::co_spawn(aContext, Accept(), asio::detached);
}

int CopyingTarget::Runs(const std::string& aId) const
{
  const auto it = mRuns.find(aId);
  return it == mRuns.end() ? 0 : it->second;
}

asio::awaitable<void> CopyingTarget::Accept()
{
  while (true) {
    boost::system::error_code ec;
    auto socket = co_await mAcceptor.async_accept(
      asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    ++mConnections;
    asio::co_spawn(mContext, Serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> CopyingTarget::Serve(tcp::socket aSocket)
{
  std::map<std::string, std::string> answered; // On this connection, by id.
  std::string buf;
  while (true) {
    boost::system::error_code ec;
    const auto n = co_await asio::async_read_until(
      aSocket, asio::dynamic_buffer(buf), "\r\n\r\n",
      asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    const auto id = IdOf(buf.substr(0, n));
    buf.erase(0, n);
    if (mSeen[id]++ > 0) {
      co_await Run(aSocket, id, answered[id]);
      continue;
    }
    mRuns[id] += mOptions.mFirstRuns ? 1 : 0;
    answered[id] =
      mOptions.mFirstHead + "Id: " + id + "\r\nContent-Length: 4\r\n\r\nonce";
    co_await Write(aSocket, answered[id]);
  }
}

asio::awaitable<void> CopyingTarget::Run(tcp::socket& aSocket, std::string aId,
                                         std::string aCopy)
{
  ++mRuns[aId];
  mCopies += aCopy.empty() ? 0 : 1;
  const auto half = aCopy.size() / 2;
  switch (mOptions.mTime) {
    case CopyTime::AtArrival:
      co_await Write(aSocket, aCopy);
      break;
    case CopyTime::InTwoPieces:
      co_await Write(aSocket, aCopy.substr(0, half));
      co_await Wait(mContext, 1ms);
      co_await Write(aSocket, aCopy.substr(half));
      break;
    case CopyTime::Thrice:
      co_await Write(aSocket, aCopy + aCopy + aCopy);
      break;
    case CopyTime::DuringRun:
      co_await Wait(mContext, mOptions.mRunTime / 2);
      co_await Write(aSocket, aCopy);
      break;
  }
  co_await Wait(mContext, mOptions.mRunTime);
  co_await Write(aSocket, "HTTP/1.1 200 Any\r\nProof: p\r\nId: " + aId +
                            "\r\nContent-Length: 5\r\n\r\nagain");
}

} // namespace guavaline::tests
