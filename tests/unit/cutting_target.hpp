#pragma once

/// A target on loopback that answers an upload at its start with a body of
/// unknown length, and ends the connection while the upload is under way.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace guavaline::tests {

/// How the target ends a connection.
enum class CutManner {
  Reset = 1,       ///< A reset within the body.
  Close,           ///< In order; the rest of the upload is reset at once.
  HalfClose,       ///< In order; the upload is read to its end.
  HalfCloseUnread, ///< In order; the upload is never read.
};

struct CutPlan
{
  CutManner mManner = CutManner::Reset;
  std::size_t mBodyBytes = 0;
  std::chrono::milliseconds mDelay{}; ///< From the body to the end.
  bool mReadsOn = false;              ///< Reads the upload slowly until then.
  std::string mFields = {};           ///< Of the answer's head.
};

class CuttingTarget
{
public:
  /// @param aPlan  what to do with the n-th connection
  CuttingTarget(boost::asio::io_context& aContext,
                std::function<CutPlan(int n)> aPlan);

  [[nodiscard]] std::uint16_t Port() const { return mPort; }

private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket aSocket,
                                     CutPlan aPlan);

  boost::asio::io_context& mContext;
  std::function<CutPlan(int n)> mPlan;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::uint16_t mPort = 0;
  int mConnections = 0;
};

} // namespace guavaline::tests
