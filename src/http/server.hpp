#pragma once

/// HTTP/1.1 server over Boost.Beast with bounded memory per connection.

#include "http/message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <functional>

namespace guavaline::detail {

/// Answers one request.
using HttpHandler =
  std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

/// Bounds of a server.
struct HttpServerLimits
{
  std::uint32_t mMaxHeaderBytes = 16'384;
  std::uint64_t mMaxBodyBytes = 8ULL << 20U;
  std::uint64_t mMaxBufferedBytes = 128ULL << 20U; ///< All bodies at once.
  /// Answers that callers have yet to take, all at once.
  std::uint64_t mMaxUnsentBytes = 64ULL << 20U;
  std::size_t mMaxConnections = 8'192;
  Millis mIdleTimeout{ 60'000 };    ///< Between requests.
  Millis mHeaderTimeout{ 15'000 };  ///< From first byte to whole header.
  Millis mReceiveTimeout{ 15'000 }; ///< From whole header to whole request.
  Millis mSendTimeout{ 15'000 };    ///< From an answer's start to its end.
};

class HttpServerState;

/// A listening server; connections live until Stop and their last answer.
class HttpServer
{
public:
  HttpServer();
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  HttpServer(HttpServer&&) = delete;
  HttpServer& operator=(HttpServer&&) = delete;

  /// Starts to listen.
  /// @param aContext  runs the connections
  /// @param aAddress  IP number
  /// @param aPort     port; 0 picks a free one
  /// @returns an empty text, or the reason why it cannot listen
  [[nodiscard]] std::string Listen(boost::asio::io_context& aContext,
                                   const std::string& aAddress,
                                   std::uint16_t aPort, HttpHandler aHandler,
                                   const HttpServerLimits& aLimits);
  /// @returns the port in use
  [[nodiscard]] std::uint16_t Port() const noexcept;
  /// Takes other limits for requests that are still to come.
  void SetLimits(const HttpServerLimits& aLimits);
  /// From now on each answer ends its connection; idle connections stay
  /// open, since requests may be on their way on them.
  void CloseAfterAnswers();
  /// Closes idle connections and closes busy ones after their answer; the
  /// listener stays open until Close.
  void Drain();
  /// Takes no new connections; those that are open stay.
  void StopListening();
  /// Stops listening and cuts every connection.
  void Close();
  /// @returns requests that are being answered
  [[nodiscard]] std::size_t InFlight() const noexcept;
  /// @returns bytes of answers that callers have yet to take
  [[nodiscard]] std::uint64_t Unsent() const noexcept;

private:
  boost::intrusive_ptr<HttpServerState> mState;
};

} // namespace guavaline::detail
