#pragma once

/// Reads HTTP/1.1 messages within bounds on their time and memory.

#include "http/message.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace guavaline::detail {

/// Parses one message into plain fields. Beast's own containers throw where a
/// field is longer than 64 KiB, although a limit may allow it. Trailers are
/// dropped, since they are no part of the header.
template<bool kRequest>
class MessageParser : public boost::beast::http::basic_parser<kRequest>
{
public:
  std::string mMethod;  ///< Of a request.
  std::string mTarget;  ///< Of a request.
  unsigned mStatus = 0; ///< Of a response.
  Headers mHeaders;
  std::string mBody;

  /// @returns bytes of the message that are held so far
  [[nodiscard]] std::uint64_t HeldBytes() const noexcept
  {
    return mHeadBytes + mBody.size();
  }

private:
  using ErrorCode = boost::beast::error_code;
  using View = boost::beast::string_view;

  /// Memory that a declared length takes before any byte has come.
  static constexpr std::uint64_t kMaxReserved = 1ULL << 20U;
  static constexpr int kMinStatus = 100;
  static constexpr int kMaxStatus = 599;

  void on_request_impl(boost::beast::http::verb, View aMethod, View aTarget,
                       int, ErrorCode&) override
  {
    mMethod.assign(aMethod.data(), aMethod.size());
    mTarget.assign(aTarget.data(), aTarget.size());
    mHeadBytes += aMethod.size() + aTarget.size();
  }

  void on_response_impl(int aCode, View, int, ErrorCode& aError) override
  {
    mStatus = static_cast<unsigned>(aCode);
    // Callers could not tell what another status says of the request.
    if (aCode < kMinStatus || aCode > kMaxStatus) {
      aError = boost::beast::http::error::bad_status;
    }
  }

  void on_field_impl(boost::beast::http::field aField, View aName, View aValue,
                     ErrorCode&) override
  {
    if (mHeadWhole) {
      return;
    }
    mEncoded =
      mEncoded || aField == boost::beast::http::field::transfer_encoding;
    mHeaders.push_back(
      { { aName.data(), aName.size() }, { aValue.data(), aValue.size() } });
    mHeadBytes += aName.size() + aValue.size();
  }

  void on_header_impl(ErrorCode& aError) override
  {
    mHeadWhole = true;
    // The body's end is not known; its bytes would be read as a request.
    if (kRequest && mEncoded && !this->chunked()) {
      aError = boost::beast::http::error::bad_transfer_encoding;
    }
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& aLength,
                         ErrorCode&) override
  {
    mBody.reserve(std::min(aLength.value_or(0), kMaxReserved));
  }

  std::size_t on_body_impl(View aBytes, ErrorCode&) override
  {
    mBody.append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }

  void on_chunk_header_impl(std::uint64_t, View, ErrorCode&) override {}

  std::size_t on_chunk_body_impl(std::uint64_t, View aBytes,
                                 ErrorCode&) override
  {
    mBody.append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }

  void on_finish_impl(ErrorCode&) override {}

  std::uint64_t mHeadBytes = 0;
  bool mHeadWhole = false;
  bool mEncoded = false; ///< A transfer encoding was named.
};

/// Bytes of all messages that are being read at once, and their bound.
struct BufferedBytes
{
  std::uint64_t mNow = 0;
  std::uint64_t mMost = 0;
};

/// The part of one message, given back when its reader ends.
class BufferedPart
{
public:
  explicit BufferedPart(BufferedBytes& aAll)
    : mAll(aAll)
  {
  }
  ~BufferedPart() { mAll.mNow -= mBytes; }
  BufferedPart(const BufferedPart&) = delete;
  BufferedPart& operator=(const BufferedPart&) = delete;
  BufferedPart(BufferedPart&&) = delete;
  BufferedPart& operator=(BufferedPart&&) = delete;

  /// Raises the part to a number of bytes.
  /// @returns false where all messages together would pass the bound
  [[nodiscard]] bool GrowTo(std::uint64_t aBytes)
  {
    if (aBytes <= mBytes) {
      return true;
    }
    if (mAll.mNow + (aBytes - mBytes) > mAll.mMost) {
      return false;
    }
    mAll.mNow += aBytes - mBytes;
    mBytes = aBytes;
    return true;
  }

private:
  BufferedBytes& mAll;
  std::uint64_t mBytes = 0;
};

/// Bytes that are read at once.
inline constexpr std::size_t kMinReadBytes = 512;
inline constexpr std::size_t kMaxReadBytes = 65'536;

/// How far a message is read.
enum class ReadGoal {
  Header = 1,
  End,
};

/// Parses what was read.
/// @returns true where more bytes are needed
template<bool kRequest>
bool ParseSome(boost::beast::flat_buffer& aBuffer,
               MessageParser<kRequest>& aParser,
               boost::beast::error_code& aError)
{
  if (aBuffer.size() == 0) {
    return true;
  }
  aBuffer.consume(aParser.put(aBuffer.data(), aError));
  const bool more = aError == boost::beast::http::error::need_more;
  if (more) {
    aError = {};
  }
  return more;
}

/// Reads some bytes, or the end of the connection.
template<bool kRequest>
boost::asio::awaitable<boost::beast::error_code> ReadSome(
  boost::beast::tcp_stream& aStream, boost::beast::flat_buffer& aBuffer,
  MessageParser<kRequest>& aParser)
{
  namespace asio = boost::asio;
  // A connection that is kept does not hold on to a large buffer.
  const auto wanted =
    std::max(kMinReadBytes, aBuffer.capacity() - aBuffer.size());
  const auto room =
    std::min({ wanted, kMaxReadBytes, aBuffer.max_size() - aBuffer.size() });
  if (room == 0) {
    co_return boost::beast::http::error::buffer_overflow;
  }
  boost::beast::error_code ec;
  const auto n = co_await aStream.async_read_some(
    aBuffer.prepare(room), asio::redirect_error(asio::use_awaitable, ec));
  aBuffer.commit(n);
  if (ec == asio::error::eof) {
    ec = boost::beast::http::error::end_of_stream;
    if (aParser.got_some()) {
      aParser.put_eof(ec);
    }
  }
  co_return ec;
}

/// Reads a message up to its goal.
/// @param aDeadline  holds for the whole of it: the stream's own expiry never
///                   ends a read for which bytes wait already
/// @returns beast::error::timeout at the deadline, asio::error::no_buffer_space
///          where all messages together would take too much memory
template<bool kRequest>
boost::asio::awaitable<boost::beast::error_code> ReadMessage(
  boost::beast::tcp_stream& aStream, boost::beast::flat_buffer& aBuffer,
  MessageParser<kRequest>& aParser, ReadGoal aGoal, TimePoint aDeadline,
  BufferedPart& aPart)
{
  const auto reached = [&] {
    return aGoal == ReadGoal::Header ? aParser.is_header_done()
                                     : aParser.is_done();
  };
  boost::beast::error_code ec;
  aParser.eager(aGoal == ReadGoal::End);
  aStream.expires_at(aDeadline);
  while (!ec && !reached()) {
    if (Clock::now() >= aDeadline) {
      co_return boost::beast::error::timeout;
    }
    if (!ParseSome(aBuffer, aParser, ec) || ec || reached()) {
      continue;
    }
    ec = co_await ReadSome(aStream, aBuffer, aParser);
    if (!ec && !aPart.GrowTo(aParser.HeldBytes() + aBuffer.size())) {
      ec = boost::asio::error::no_buffer_space;
    }
  }
  co_return ec;
}

} // namespace guavaline::detail
