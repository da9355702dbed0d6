#include "peers/peer_link.hpp"

#include "daemon/event_loop.hpp"
#include "http/listen.hpp"
#include "peers/peer_session.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/intrusive/list.hpp>

#include <openssl/crypto.h>

namespace guavaline::detail {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

class PeerServerState : public boost::intrusive_ref_counter<PeerServerState>
{
public:
  PeerServerState(asio::io_context& aContext, std::string aKey,
                  PeerHandler aHandler, PeerFilter aFilter)
    : mAcceptor(aContext)
    , mKey(std::move(aKey))
    , mHandler(std::move(aHandler))
    , mFilter(std::move(aFilter))
  {
  }

  tcp::acceptor mAcceptor;
  std::string mKey;
  PeerHandler mHandler;
  PeerFilter mFilter;
  boost::intrusive::list<PeerSession,
                         boost::intrusive::constant_time_size<false>>
    mSessions;
};

namespace {

asio::awaitable<void> RunSession(boost::intrusive_ptr<PeerSession> aSession)
{
  co_await aSession->Run();
}

asio::awaitable<void> AcceptPeers(boost::intrusive_ptr<PeerServerState> aState)
{
  while (aState->mAcceptor.is_open()) {
    boost::system::error_code ec;
    auto socket = co_await aState->mAcceptor.async_accept(
      asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (ec) {
      continue;
    }
    const auto from = socket.remote_endpoint(ec).address().to_string();
    if (ec || !aState->mFilter(from)) {
      socket.close(ec);
      continue;
    }
    socket.set_option(tcp::no_delay(true), ec);
    const auto executor = socket.get_executor();
    boost::intrusive_ptr<PeerSession> session(
      new PeerSession(std::move(socket), true, aState->mKey, aState->mHandler));
    aState->mSessions.push_back(*session);
    asio::co_spawn(executor, RunSession(std::move(session)), asio::detached);
  }
}

} // namespace

bool SameKey(std::string_view aFirst, std::string_view aSecond)
{
  return aFirst.size() == aSecond.size() && !aFirst.empty() &&
         CRYPTO_memcmp(aFirst.data(), aSecond.data(), aFirst.size()) == 0;
}

PeerClient::PeerClient(asio::any_io_executor aExecutor, std::string aKey,
                       std::string aLocalAddress)
  : mExecutor(std::move(aExecutor))
  , mKey(std::move(aKey))
  , mLocalAddress(std::move(aLocalAddress))
{
}

PeerClient::~PeerClient()
{
  for (auto& [peer, session] : mSessions) {
    // A peer to which no connection ever opened has no session.
    if (session) {
      session->Close();
    }
  }
}

asio::awaitable<PeerReply> PeerClient::Call(Endpoint aPeer, std::string aKind,
                                            std::string aBody, Millis aTimeout)
{
  return Call(std::move(aPeer), std::move(aKind), std::move(aBody), aTimeout,
              mKey);
}

asio::awaitable<PeerReply> PeerClient::Call(Endpoint aPeer, std::string aKind,
                                            std::string aBody, Millis aTimeout,
                                            std::string aKey)
{
  using namespace asio::experimental::awaitable_operators;
  const auto name = aPeer.Text();
  auto session = mSessions[name];
  if (!session || !session->IsOpen()) {
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(aPeer.mAddress, ec);
    const auto local = asio::ip::make_address(mLocalAddress, ec);
    tcp::socket socket(mExecutor);
    socket.open(tcp::v4(), ec);
    socket.bind(tcp::endpoint(local, 0), ec);
    asio::steady_timer timer(mExecutor);
    timer.expires_after(aTimeout);
    boost::system::error_code timerEc;
    const auto first = co_await (
      socket.async_connect(tcp::endpoint(address, aPeer.mPort),
                           asio::redirect_error(asio::use_awaitable, ec)) ||
      timer.async_wait(asio::redirect_error(asio::use_awaitable, timerEc)));
    if (first.index() == 1 || ec) {
      co_return NoReply("connect", name,
                        first.index() == 1 ? "timeout" : ec.message());
    }
    socket.set_option(tcp::no_delay(true), ec);
    session.reset(new PeerSession(std::move(socket), false, {}, {}));
    mSessions[name] = session;
    asio::co_spawn(mExecutor, RunSession(session), asio::detached);
  }
  co_return co_await session->Call(name, std::move(aKind), std::move(aBody),
                                   aTimeout, std::move(aKey));
}

PeerServer::PeerServer() = default;

PeerServer::~PeerServer()
{
  Close();
}

std::string PeerServer::Listen(asio::io_context& aContext,
                               const std::string& aAddress, std::uint16_t aPort,
                               std::string aKey, PeerHandler aHandler,
                               PeerFilter aFilter)
{
  mState.reset(new PeerServerState(aContext, std::move(aKey),
                                   std::move(aHandler), std::move(aFilter)));
  auto problem = ListenOn(mState->mAcceptor, aAddress, aPort);
  if (!problem.empty()) {
    return problem;
  }
  SpawnLasting(aContext.get_executor(), "accept_peers",
               [state = mState] { return AcceptPeers(state); });
  return {};
}

void PeerServer::Close()
{
  if (!mState) {
    return;
  }
  boost::system::error_code ec;
  mState->mAcceptor.close(ec);
  for (auto it = mState->mSessions.begin(); it != mState->mSessions.end();) {
    auto& session = *it++;
    session.Close();
  }
}

} // namespace guavaline::detail
