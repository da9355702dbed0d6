#include "peers/peer_session.hpp"

#include "daemon/log.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kReadBytes = 16'384;
constexpr std::size_t kMaxMessageBytes = 4ULL << 20U;
constexpr std::uint32_t kMaxStreams = 256;
constexpr std::size_t kMaxOutputBytes = 16ULL << 20U;
constexpr std::string_view kKindPrefix = "/peer/";
constexpr std::string_view kBearer = "Bearer ";

nghttp2_nv MakeField(std::string_view aName, std::string_view aValue,
                     std::uint8_t aFlags = NGHTTP2_NV_FLAG_NONE)
{
  // The library's struct is not const-correct; it copies both texts.
  auto* name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(aName.data()));
  auto* value =
    reinterpret_cast<std::uint8_t*>(const_cast<char*>(aValue.data()));
  return { name, value, aName.size(), aValue.size(), aFlags };
}

/// @returns nothing where the handler refuses the call or fails
asio::awaitable<std::optional<std::string>> Handle(const PeerHandler& aHandler,
                                                   std::string aKind,
                                                   std::string aBody)
{
  try {
    co_return co_await aHandler(aKind, std::move(aBody));
  } catch (const std::exception& e) {
    LogBounded(LogClass::Failure, LogLevel::Error, "peer_call_failed",
               { { "kind", aKind }, { "error", e.what() } });
  }
  co_return std::nullopt;
}

} // namespace

/// Callbacks of nghttp2; the user data is the session.
struct PeerCallbacks
{
  static PeerSession& Self(void* aUser)
  {
    return *static_cast<PeerSession*>(aUser);
  }

  static PeerStream* Find(PeerSession& aSession, std::int32_t aId)
  {
    const auto it = aSession.mStreams.find(aId);
    return it == aSession.mStreams.end() ? nullptr : it->second.get();
  }

  static int OnBeginHeaders(nghttp2_session*, const nghttp2_frame* aFrame,
                            void* aUser)
  {
    auto& self = Self(aUser);
    if (self.mServer && aFrame->hd.type == NGHTTP2_HEADERS) {
      self.mStreams[aFrame->hd.stream_id] =
        std::make_shared<PeerStream>(self.mSocket.get_executor());
    }
    return 0;
  }

  static int OnHeader(nghttp2_session*, const nghttp2_frame* aFrame,
                      const std::uint8_t* aName, std::size_t aNameSize,
                      const std::uint8_t* aValue, std::size_t aValueSize,
                      std::uint8_t, void* aUser)
  {
    auto* stream = Find(Self(aUser), aFrame->hd.stream_id);
    if (stream == nullptr) {
      return 0;
    }
    const std::string_view name(reinterpret_cast<const char*>(aName),
                                aNameSize);
    const std::string_view value(reinterpret_cast<const char*>(aValue),
                                 aValueSize);
    if (name == ":path" && value.substr(0, kKindPrefix.size()) == kKindPrefix) {
      stream->mKind = value.substr(kKindPrefix.size());
    } else if (name == "authorization" &&
               value.substr(0, kBearer.size()) == kBearer) {
      stream->mKey = value.substr(kBearer.size());
    } else if (name == ":status") {
      stream->mStatus = static_cast<unsigned>(
        std::atoi(std::string(value).c_str())); // NOLINT(cert-err34-c)
    }
    return 0;
  }

  static int OnData(nghttp2_session*, std::uint8_t, std::int32_t aId,
                    const std::uint8_t* aData, std::size_t aSize, void* aUser)
  {
    auto* stream = Find(Self(aUser), aId);
    if (stream == nullptr) {
      return 0;
    }
    if (stream->mReceived.size() + aSize > kMaxMessageBytes) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    stream->mReceived.append(reinterpret_cast<const char*>(aData), aSize);
    return 0;
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* aFrame, void* aUser)
  {
    auto& self = Self(aUser);
    const bool ends = (aFrame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    const bool carries =
      aFrame->hd.type == NGHTTP2_DATA || aFrame->hd.type == NGHTTP2_HEADERS;
    if (self.mServer && ends && carries) {
      self.RequestArrived(aFrame->hd.stream_id);
    }
    return 0;
  }

  static int OnClose(nghttp2_session*, std::int32_t aId, std::uint32_t aError,
                     void* aUser)
  {
    auto& self = Self(aUser);
    const auto it = self.mStreams.find(aId);
    if (it == self.mStreams.end()) {
      return 0;
    }
    if (aError != NGHTTP2_NO_ERROR) {
      it->second->mStatus = 0;
    }
    it->second->mClosed = true;
    it->second->mWake.cancel();
    self.mStreams.erase(it);
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session*, std::int32_t, std::uint8_t* aBuffer,
                          std::size_t aLength, std::uint32_t* aFlags,
                          nghttp2_data_source* aSource, void*)
  {
    auto& stream = *static_cast<PeerStream*>(aSource->ptr);
    const auto n = std::min(aLength, stream.mToSend.size() - stream.mSent);
    std::copy_n(stream.mToSend.data() + stream.mSent, n, aBuffer);
    stream.mSent += n;
    if (stream.mSent == stream.mToSend.size()) {
      *aFlags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(n);
  }
};

PeerSession::PeerSession(asio::ip::tcp::socket aSocket, bool aServer,
                         std::string aKey, PeerHandler aHandler)
  : mSocket(std::move(aSocket))
  , mServer(aServer)
  , mKey(std::move(aKey))
  , mHandler(std::move(aHandler))
{
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
    callbacks, PeerCallbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   PeerCallbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
    callbacks, PeerCallbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       PeerCallbacks::OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(
    callbacks, PeerCallbacks::OnClose);
  if (mServer) {
    nghttp2_session_server_new(&mSession, callbacks, this);
  } else {
    nghttp2_session_client_new(&mSession, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
  const std::array<nghttp2_settings_entry, 1> settings{
    { { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams } }
  };
  nghttp2_submit_settings(mSession, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
}

PeerSession::~PeerSession()
{
  nghttp2_session_del(mSession);
}

void PeerSession::Close()
{
  boost::system::error_code ec;
  mSocket.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
  mSocket.close(ec);
  for (auto& [id, stream] : mStreams) {
    stream->mClosed = true;
    stream->mStatus = 0;
    stream->mWake.cancel();
  }
}

nghttp2_data_provider PeerSession::BodyOf(PeerStream& aStream)
{
  nghttp2_data_provider out{};
  out.source.ptr = &aStream;
  out.read_callback = PeerCallbacks::ReadBody;
  return out;
}

asio::awaitable<void> PeerSession::Run()
{
  const boost::intrusive_ptr<PeerSession> self(this);
  std::array<std::uint8_t, kReadBytes> buf{};
  boost::system::error_code ec;
  Flush();
  while (mSocket.is_open()) {
    const auto n = co_await mSocket.async_read_some(
      asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      break;
    }
    mLastReceived = Clock::now();
    if (nghttp2_session_mem_recv(mSession, buf.data(), n) < 0) {
      break;
    }
    Flush();
    if (nghttp2_session_want_read(mSession) == 0 &&
        nghttp2_session_want_write(mSession) == 0) {
      break;
    }
  }
  Close();
}

void PeerSession::Flush()
{
  const std::uint8_t* data = nullptr;
  ssize_t n = 0;
  while ((n = nghttp2_session_mem_send(mSession, &data)) > 0) {
    mOutput.append(reinterpret_cast<const char*>(data),
                   static_cast<std::size_t>(n));
  }
  if (mOutput.size() > kMaxOutputBytes) {
    Close();
    return;
  }
  if (!mWriting && !mOutput.empty() && mSocket.is_open()) {
    mWriting = true;
    asio::co_spawn(mSocket.get_executor(), WriteAll(), asio::detached);
  }
}

asio::awaitable<void> PeerSession::WriteAll()
{
  const boost::intrusive_ptr<PeerSession> self(this);
  boost::system::error_code ec;
  while (!mOutput.empty() && !ec) {
    const auto buf = std::exchange(mOutput, {});
    co_await asio::async_write(mSocket, asio::buffer(buf),
                               asio::redirect_error(asio::use_awaitable, ec));
  }
  mWriting = false;
  if (ec) {
    Close();
  }
}

void PeerSession::RequestArrived(std::int32_t aId)
{
  const auto it = mStreams.find(aId);
  if (it == mStreams.end()) {
    return;
  }
  if (!SameKey(it->second->mKey, mKey)) {
    SubmitReply(aId, "401", it->second);
    return;
  }
  asio::co_spawn(mSocket.get_executor(), AnswerStream(aId, it->second),
                 asio::detached);
}

asio::awaitable<void> PeerSession::AnswerStream(
  std::int32_t aId, std::shared_ptr<PeerStream> aStream)
{
  const boost::intrusive_ptr<PeerSession> self(this);
  auto reply =
    co_await Handle(mHandler, aStream->mKind, std::move(aStream->mReceived));
  if (aStream->mClosed || !mSocket.is_open()) {
    co_return;
  }
  aStream->mToSend = reply.value_or(std::string());
  SubmitReply(aId, reply ? "200" : "404", aStream);
  Flush();
}

void PeerSession::SubmitReply(std::int32_t aId, const std::string& aStatus,
                              const std::shared_ptr<PeerStream>& aStream)
{
  const std::array<nghttp2_nv, 1> fields{ MakeField(":status", aStatus) };
  auto body = BodyOf(*aStream);
  nghttp2_submit_response(mSession, aId, fields.data(), fields.size(), &body);
}

asio::awaitable<PeerReply> PeerSession::Call(std::string aPeer,
                                             std::string aKind,
                                             std::string aBody, Millis aTimeout,
                                             std::string aKey)
{
  const boost::intrusive_ptr<PeerSession> self(this);
  const auto started = Clock::now();
  auto stream = std::make_shared<PeerStream>(mSocket.get_executor());
  stream->mToSend = std::move(aBody);
  const auto path = std::string(kKindPrefix) + aKind;
  const auto authorization = std::string(kBearer) + aKey;
  const std::array<nghttp2_nv, 5> fields{
    MakeField(":method", "POST"), MakeField(":scheme", "http"),
    MakeField(":authority", aPeer), MakeField(":path", path),
    MakeField("authorization", authorization)
  };
  auto body = BodyOf(*stream);
  const auto id = nghttp2_submit_request(mSession, nullptr, fields.data(),
                                         fields.size(), &body, nullptr);
  if (id < 0) {
    Close();
    co_return NoReply(aKind, aPeer, nghttp2_strerror(id));
  }
  mStreams[id] = stream;
  Flush();
  stream->mWake.expires_after(aTimeout);
  boost::system::error_code ec;
  if (!stream->mClosed) {
    co_await stream->mWake.async_wait(
      asio::redirect_error(asio::use_awaitable, ec));
  }
  if (!stream->mClosed) {
    // Out of time. A connection that went silent is not used again.
    if (mLastReceived < started) {
      Close();
    } else {
      nghttp2_submit_rst_stream(mSession, NGHTTP2_FLAG_NONE, id,
                                NGHTTP2_CANCEL);
      Flush();
    }
    // nghttp2 may still read the body until the stream is closed.
    co_return NoReply(aKind, aPeer, "timeout");
  }
  if (stream->mStatus != 200) {
    co_return NoReply(aKind, aPeer,
                      "status " + std::to_string(stream->mStatus));
  }
  PeerReply out;
  out.mBody = std::move(stream->mReceived);
  co_return out;
}

} // namespace guavaline::detail
