#pragma once

/// Tells a connection that its peer closed from one that was reset.

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace guavaline::detail {

/// What the system knows of a connection whose stream was read to its end.
struct StreamEnd
{
  /// The peer closed its side and has reset nothing since.
  bool mHalfClosed = false;
  /// The system tells in which state the connection is.
  bool mStateKnown = false;
  /// An error that no call has returned yet; reading it clears it.
  boost::system::error_code mPending;
};

[[nodiscard]] StreamEnd ReadStreamEnd(
  boost::asio::ip::tcp::socket& aSocket) noexcept;

/// Decides whether all that the peer sent was received. The system returns an
/// error to one call only, so that after a reset which the send was told of the
/// stream ends as if in order. It names a reset before the peer's FIN
/// ECONNRESET, and one after it EPIPE.
/// @param aSend  how the send on the connection ended
[[nodiscard]] bool EndedInOrder(
  const StreamEnd& aEnd, const boost::system::error_code& aSend) noexcept;

} // namespace guavaline::detail
