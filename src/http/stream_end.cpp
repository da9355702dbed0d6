#include "http/stream_end.hpp"

#include <boost/asio/error.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace guavaline::detail {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// @returns true for no error, and for a reset after the peer's FIN
bool IsAfterEnd(const error_code& aError) noexcept
{
  return !aError || aError == asio::error::broken_pipe;
}

} // namespace

StreamEnd ReadStreamEnd(asio::ip::tcp::socket& aSocket) noexcept
{
  StreamEnd out;
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                   &size) == 0) {
    out.mHalfClosed = info.tcpi_state == TCP_CLOSE_WAIT;
    // At the end of a stream no connection is established any more: some
    // systems do not keep the state.
    out.mStateKnown = out.mHalfClosed || info.tcpi_state == TCP_CLOSE;
  }
  int pending = 0;
  size = sizeof pending;
  if (::getsockopt(aSocket.native_handle(), SOL_SOCKET, SO_ERROR, &pending,
                   &size) == 0) {
    out.mPending.assign(pending, asio::error::get_system_category());
  }
  return out;
}

bool EndedInOrder(const StreamEnd& aEnd, const error_code& aSend) noexcept
{
  if (aEnd.mHalfClosed) {
    return true;
  }
  // Without any error the connection ended in a way that was not seen, unless
  // the system does not tell of states: then no error is all there is to see.
  return IsAfterEnd(aEnd.mPending) && IsAfterEnd(aSend) &&
         (aEnd.mPending || aSend || !aEnd.mStateKnown);
}

} // namespace guavaline::detail
