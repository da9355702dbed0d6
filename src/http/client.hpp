#pragma once

/// HTTP/1.1 client over Boost.Beast with a pool of kept connections.

#include "http/message.hpp"

#include <guavaline/core/error.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>

namespace guavaline::detail {

/// Where a request goes.
struct Endpoint
{
  std::string mAddress; ///< IP number.
  std::uint16_t mPort = 0;

  [[nodiscard]] std::string Text() const;
  bool operator==(const Endpoint&) const = default;
};

/// How one exchange is done.
struct ExchangeOptions
{
  TimePoint mDeadline;
  /// A kept connection is used only where it was proven live this lately.
  Millis mReuseWithin{ 5'000 };
  std::uint64_t mMaxBodyBytes = 32ULL << 20U;
  /// Longest time to open a connection; 0 for until the deadline.
  Millis mConnectTimeout{ 0 };
  /// Longest time without acknowledgement from the peer's host; 0 for the
  /// system's. Finds hosts without power and connections gone silent.
  Millis mUnacknowledged{ 0 };
  /// Header whose value an answer shares with its request; answers to
  /// earlier requests are skipped by it, and no connection carries a value
  /// twice. Empty where there is none.
  std::string mAnswerIdName;
  std::string mAnswerId;
  /// Accept a body that ends with its connection, if that ends in order.
  bool mUnframedBody = false;
};

/// An answer that came in the place of the own one.
struct LateAnswer
{
  Headers mHeaders;
  TimePoint mArrived;
};

/// What became of one exchange.
struct ExchangeResult
{
  std::optional<HttpResponse> mResponse; ///< A whole response.
  Error mError;                          ///< Set where there is none.
  /// Interim answers, and those to earlier requests, that came before it.
  std::vector<LateAnswer> mLate;
  std::uint64_t mConnection = 0; ///< Its number; 0 where none was opened.
  std::size_t mExchange = 0;     ///< Requests that it had carried before.
  /// Kept connections that were not used since they had carried the same id.
  std::size_t mPassedOver = 0;
  /// False only where no byte of the request can have reached the peer.
  bool mMayHaveReached = false;
  bool mTimedOut = false;
  bool mAnswerBegan = false; ///< A head came, and not the whole answer.
  bool mConnectFailed = false;
  bool mCancelled = false; ///< By this side, such as when a caller left.
  bool mReused = false;    ///< A kept connection was used.
  /// The answer bears the request's id. Without that it may be the answer to an
  /// earlier request on the connection.
  bool mNamesRequest = false;
  /// Time to open the connection; nothing where it was kept.
  std::optional<std::chrono::microseconds> mConnectTime;
};

class HttpPoolState;

/// @returns true for an answer that nothing ties to its request
[[nodiscard]] bool IsUnidentified(const ExchangeResult& aResult) noexcept;

/// Sends requests; keeps connections that ended a whole exchange, and only
/// those whose answers bear ids where requests have any.
class HttpClient
{
public:
  explicit HttpClient(boost::asio::any_io_executor aExecutor);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  HttpClient(HttpClient&&) = delete;
  HttpClient& operator=(HttpClient&&) = delete;

  /// Sends one request and reads the whole response. A connection whose
  /// exchange fails, times out or is cancelled is closed.
  [[nodiscard]] boost::asio::awaitable<ExchangeResult> Exchange(
    Endpoint aEndpoint, HttpRequest aRequest, ExchangeOptions aOptions);

  /// Opens a connection and keeps it for a later exchange.
  /// @returns a result without a response
  [[nodiscard]] boost::asio::awaitable<ExchangeResult> OpenSpare(
    Endpoint aEndpoint, ExchangeOptions aOptions);
  /// @returns true where a kept connection to a peer was proven live within a
  ///          time and the peer still keeps it
  [[nodiscard]] bool HasFresh(const Endpoint& aEndpoint, Millis aWithin,
                              TimePoint aNow) const;
  /// @returns true where a kept connection to a peer is still open
  [[nodiscard]] bool HasOpen(const Endpoint& aEndpoint) const;

  /// Closes kept connections to one peer.
  void Forget(const Endpoint& aEndpoint);
  /// Closes connections that have been idle longer than their peer keeps them.
  void DropExpired(TimePoint aNow);

  /// Bounds the bodies of all answers that are being read, in bytes. An
  /// answer that would take more ends its exchange.
  void SetMostBuffered(std::uint64_t aBytes);
  [[nodiscard]] std::uint64_t Buffered() const;

private:
  boost::asio::any_io_executor mExecutor;
  boost::intrusive_ptr<HttpPoolState> mPool;
};

/// Sends one request from synchronous code, such as a command line tool.
[[nodiscard]] ExchangeResult ExchangeNow(const Endpoint& aEndpoint,
                                         const HttpRequest& aRequest,
                                         Millis aTimeout);

/// Reads "IP:PORT".
[[nodiscard]] std::optional<Endpoint> ParseEndpoint(const std::string& aText);

} // namespace guavaline::detail
