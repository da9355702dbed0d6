#pragma once

/// One HTTP/2 connection between two entries, for either side.

#include "peers/peer_link.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list_hook.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <nghttp2/nghttp2.h>

namespace guavaline::detail {

/// One call on a session.
struct PeerStream
{
  explicit PeerStream(const boost::asio::any_io_executor& aExecutor)
    : mWake(aExecutor)
  {
  }

  std::string mKind;
  std::string mKey;
  std::string mReceived;
  std::string mToSend;
  std::size_t mSent = 0;
  unsigned mStatus = 0;
  bool mClosed = false;
  boost::asio::steady_timer mWake; ///< Cancelled when the stream ends.
};

class PeerSession
  : public boost::intrusive_ref_counter<PeerSession>
  , public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  /// @param aServer  true for the side that accepted the connection
  /// @param aKey     key that calls must carry, on the accepting side
  PeerSession(boost::asio::ip::tcp::socket aSocket, bool aServer,
              std::string aKey, PeerHandler aHandler);
  ~PeerSession();
  PeerSession(const PeerSession&) = delete;
  PeerSession& operator=(const PeerSession&) = delete;
  PeerSession(PeerSession&&) = delete;
  PeerSession& operator=(PeerSession&&) = delete;

  /// Reads until the connection ends.
  boost::asio::awaitable<void> Run();
  /// @param aKey  the peer's key, which changes when the peer restarts
  boost::asio::awaitable<PeerReply> Call(std::string aPeer, std::string aKind,
                                         std::string aBody, Millis aTimeout,
                                         std::string aKey);
  void Close();
  [[nodiscard]] bool IsOpen() const { return mSocket.is_open(); }

private:
  friend struct PeerCallbacks;

  void Flush();
  boost::asio::awaitable<void> WriteAll();
  boost::asio::awaitable<void> AnswerStream(
    std::int32_t aId, std::shared_ptr<PeerStream> aStream);
  void SubmitReply(std::int32_t aId, const std::string& aStatus,
                   const std::shared_ptr<PeerStream>& aStream);
  void RequestArrived(std::int32_t aId);
  nghttp2_data_provider BodyOf(PeerStream& aStream);

  boost::asio::ip::tcp::socket mSocket;
  bool mServer;
  std::string mKey;
  PeerHandler mHandler;
  nghttp2_session* mSession = nullptr;
  std::map<std::int32_t, std::shared_ptr<PeerStream>> mStreams;
  std::string mOutput;
  bool mWriting = false;
  TimePoint mLastReceived{};
};

} // namespace guavaline::detail
