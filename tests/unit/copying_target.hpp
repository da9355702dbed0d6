#pragma once

/// A target on loopback that writes answers twice: the copy bears the id of the
/// request that was answered, and comes when that request is under way again on
/// the same connection.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace guavaline::tests {

/// When and how a copy comes.
enum class CopyTime {
  AtArrival = 1, ///< As the request arrives again.
  InTwoPieces,   ///< The same, the second half a moment later.
  Thrice,        ///< Three copies as it arrives again.
  DuringRun,     ///< Halfway through its run.
};

struct CopyingOptions
{
  CopyTime mTime = CopyTime::AtArrival;
  /// Head of the first answer to each request, without id and length.
  std::string mFirstHead = "HTTP/1.1 503 Any\r\nNot-Run: 1\r\n";
  /// The first answer ends a run as well.
  bool mFirstRuns = false;
  std::chrono::milliseconds mRunTime{ 10 };
};

class CopyingTarget
{
public:
  CopyingTarget(boost::asio::io_context& aContext, CopyingOptions aOptions);

  [[nodiscard]] std::uint16_t Port() const { return mPort; }
  [[nodiscard]] int Connections() const { return mConnections; }
  /// Copies written into a request that was under way again.
  [[nodiscard]] int Copies() const { return mCopies; }
  /// @returns how often a request ran
  [[nodiscard]] int Runs(const std::string& aId) const;

private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket aSocket);
  /// Runs a request that comes again and answers it.
  boost::asio::awaitable<void> Run(boost::asio::ip::tcp::socket& aSocket,
                                   std::string aId, std::string aCopy);

  boost::asio::io_context& mContext;
  CopyingOptions mOptions;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::uint16_t mPort = 0;
  int mConnections = 0;
  int mCopies = 0;
  std::map<std::string, int> mSeen; ///< Sends by id.
  std::map<std::string, int> mRuns; ///< By id.
};

} // namespace guavaline::tests
