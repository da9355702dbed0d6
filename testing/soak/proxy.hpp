#pragma once

/// Loopback proxy that harms the connections through it: delays, resets,
/// cuts one way, silence, copies of refusals.

#include "http/client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <random>
#include <set>

namespace guavaline::testing {

/// What happens to bytes that come from now on.
struct ProxyFaults
{
  Millis mDelay{ 0 };         ///< Of each piece, either way.
  bool mDropToServer = false; ///< Bytes of callers are lost.
  bool mDropToCaller = false; ///< Bytes of the server are lost.
  bool mRefuse = false;       ///< New connections are reset.
};

/// Copies of refusals that a proxy wrote.
struct CopyCounts
{
  std::size_t mMet = 0; ///< While the refused request was under way again.
  std::size_t mOthers = 0;
};

class ProxyConnection;

class SoakProxy
{
public:
  SoakProxy(boost::asio::io_context& aContext, detail::Endpoint aServer);
  ~SoakProxy();
  SoakProxy(const SoakProxy&) = delete;
  SoakProxy& operator=(const SoakProxy&) = delete;
  SoakProxy(SoakProxy&&) = delete;
  SoakProxy& operator=(SoakProxy&&) = delete;

  /// @returns an empty text, or the reason why it cannot listen
  [[nodiscard]] std::string Listen(const detail::Endpoint& aWhere);
  void SetFaults(const ProxyFaults& aFaults) { mFaults = aFaults; }
  /// Refusals of the server that promise "not run" come once more: as their
  /// request arrives again on the same connection, and some at any time.
  void SetCopies(bool aOn, std::uint64_t aSeed)
  {
    mCopying = aOn;
    mRandom.seed(aSeed);
  }
  [[nodiscard]] const CopyCounts& Copies() const noexcept { return mCopies; }
  /// Takes no new connections.
  void StopListening();
  /// Ends everything.
  void Close();
  /// Resets the open connections.
  void ResetAll();
  /// Open connections carry nothing any more, without a sign; new ones work.
  void SilenceAll();

private:
  friend class ProxyConnection;

  boost::asio::awaitable<void> Accept();

  boost::asio::io_context& mContext;
  detail::Endpoint mServer;
  boost::asio::ip::tcp::acceptor mAcceptor;
  ProxyFaults mFaults;
  bool mCopying = false;
  std::mt19937_64 mRandom;
  CopyCounts mCopies;
  std::set<ProxyConnection*> mConnections;
};

} // namespace guavaline::testing
