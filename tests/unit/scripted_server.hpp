#pragma once

/// A server on loopback that answers each request with given bytes.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace guavaline::tests {

/// What the server does once a request's header has come.
struct ScriptedAnswer
{
  std::string mBytes;
  bool mClose = false; ///< Ends the connection in order afterwards.
  bool mReset = false; ///< Resets the connection afterwards.
  bool mReadBody = true;
  std::string mForever = {}; ///< Sent again and again until the caller closes.
};

/// Answers the n-th request of the server with what the script returns.
/// @param aHead  the request's header as received
using Script = std::function<ScriptedAnswer(int n, const std::string& aHead)>;

class ScriptedServer
{
public:
  ScriptedServer(boost::asio::io_context& aContext, Script aScript);

  [[nodiscard]] std::uint16_t Port() const { return mPort; }
  /// From now on connections are refused.
  void StopListening() { mAcceptor.close(); }
  [[nodiscard]] int Requests() const { return mRequests; }
  [[nodiscard]] int Connections() const { return mConnections; }
  [[nodiscard]] const std::vector<std::string>& Heads() const { return mHeads; }

private:
  boost::asio::ip::tcp::acceptor mAcceptor;
  Script mScript;
  std::uint16_t mPort = 0;
  int mRequests = 0;
  int mConnections = 0;
  std::vector<std::string> mHeads;
};

} // namespace guavaline::tests
