#include "scripted_server.hpp"

#include "http/listen.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <charconv>

namespace guavaline::tests {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

std::size_t BodyLength(const std::string& aHead)
{
  constexpr std::string_view kName = "Content-Length: ";
  const auto at = aHead.find(kName);
  std::size_t out = 0;
  if (at != std::string::npos) {
    std::from_chars(aHead.data() + at + kName.size(),
                    aHead.data() + aHead.size(), out);
  }
  return out;
}

asio::awaitable<void> Serve(tcp::socket aSocket, const Script& aScript,
                            int& aRequests, std::vector<std::string>& aHeads)
{
  std::string buf;
  while (true) {
    boost::system::error_code ec;
    const auto n = co_await asio::async_read_until(
      aSocket, asio::dynamic_buffer(buf), "\r\n\r\n",
      asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    const auto head = buf.substr(0, n);
    buf.erase(0, n);
    aHeads.push_back(head);
    const auto answer = aScript(aRequests++, head);
    const auto length = BodyLength(head);
    if (answer.mReadBody && buf.size() < length) {
      co_await asio::async_read(aSocket, asio::dynamic_buffer(buf),
                                asio::transfer_exactly(length - buf.size()),
                                asio::redirect_error(asio::use_awaitable, ec));
    }
    buf.erase(0, std::min(length, buf.size()));
    co_await asio::async_write(aSocket, asio::buffer(answer.mBytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    while (!answer.mForever.empty() && !ec) {
      co_await asio::async_write(aSocket, asio::buffer(answer.mForever),
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
    if (answer.mReset) {
      aSocket.set_option(asio::socket_base::linger(true, 0), ec);
    }
    if (answer.mClose || answer.mReset) {
      aSocket.close(ec);
      co_return;
    }
  }
}

} // namespace

ScriptedServer::ScriptedServer(asio::io_context& aContext, Script aScript)
  : mAcceptor(aContext)
  , mScript(std::move(aScript))
{
  (void)detail::ListenOn(mAcceptor, "127.0.0.1", 0);
  mPort = mAcceptor.local_endpoint().port();
  asio::co_spawn(
    aContext,
    [this, &aContext]() -> asio::awaitable<void> {
      while (true) {
        boost::system::error_code ec;
        auto socket = co_await mAcceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
          co_return;
        }
        ++mConnections;
        asio::co_spawn(aContext,
                       Serve(std::move(socket), mScript, mRequests, mHeads),
                       asio::detached);
      }
    },
    asio::detached);
}

} // namespace guavaline::tests
