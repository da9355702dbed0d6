#pragma once

/// Calls between entries over HTTP/2 streams (nghttp2). Each call is one
/// stream: a POST whose path names the kind of message.

#include "http/client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <functional>
#include <map>

namespace guavaline::detail {

/// What a peer said, or why there is nothing.
struct PeerReply
{
  std::optional<std::string> mBody;
  Error mError;
};

/// @returns true where the peer's host answered that no process listens
[[nodiscard]] inline bool IsRefused(const PeerReply& aReply)
{
  return aReply.mError.mReason == "Connection refused";
}

/// Makes the reply that says why there is none.
[[nodiscard]] inline PeerReply NoReply(std::string aStep, std::string aPeer,
                                       std::string aReason)
{
  PeerReply out;
  out.mError = { std::move(aStep), std::move(aPeer), std::move(aReason) };
  return out;
}

/// Answers one call; nothing refuses it.
using PeerHandler =
  std::function<boost::asio::awaitable<std::optional<std::string>>(
    std::string aKind, std::string aBody)>;

/// Tells whether calls to or from an address are let through; switched off
/// in tests to part hosts from each other.
using PeerFilter = std::function<bool(const std::string& aAddress)>;

class PeerSession;
class PeerServerState;

/// Makes calls; keeps one connection to each peer.
class PeerClient
{
public:
  PeerClient(boost::asio::any_io_executor aExecutor, std::string aKey,
             std::string aLocalAddress);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;
  PeerClient(PeerClient&&) = delete;
  PeerClient& operator=(PeerClient&&) = delete;

  /// Calls a peer. A connection on which a call ran out of time while
  /// nothing came in is closed, so that the next call uses a new one.
  [[nodiscard]] boost::asio::awaitable<PeerReply> Call(Endpoint aPeer,
                                                       std::string aKind,
                                                       std::string aBody,
                                                       Millis aTimeout);
  /// Calls a peer that has a key of its own.
  [[nodiscard]] boost::asio::awaitable<PeerReply> Call(Endpoint aPeer,
                                                       std::string aKind,
                                                       std::string aBody,
                                                       Millis aTimeout,
                                                       std::string aKey);

private:
  boost::asio::any_io_executor mExecutor;
  std::string mKey;
  std::string mLocalAddress;
  std::map<std::string, boost::intrusive_ptr<PeerSession>> mSessions;
};

/// Answers calls that carry the key.
class PeerServer
{
public:
  PeerServer();
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;
  PeerServer(PeerServer&&) = delete;
  PeerServer& operator=(PeerServer&&) = delete;

  /// Starts to listen.
  /// @returns an empty text, or the reason why it cannot listen
  [[nodiscard]] std::string Listen(boost::asio::io_context& aContext,
                                   const std::string& aAddress,
                                   std::uint16_t aPort, std::string aKey,
                                   PeerHandler aHandler, PeerFilter aFilter);
  void Close();

private:
  boost::intrusive_ptr<PeerServerState> mState;
};

/// Compares two keys in a time that does not depend on where they differ.
[[nodiscard]] bool SameKey(std::string_view aFirst, std::string_view aSecond);

} // namespace guavaline::detail
