#include "http/probe.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

/// Several round trips between regions.
constexpr Millis kProbeTimeout{ 700 };

/// The answers to one question.
struct Inquiry : boost::intrusive_ref_counter<Inquiry>
{
  explicit Inquiry(const asio::any_io_executor& aExecutor)
    : mSettled(aExecutor, TimePoint::max())
  {
  }

  std::size_t mOpen = 0;
  bool mListens = false;
  asio::steady_timer mSettled; ///< Cancelled when the outcome is known.
};

asio::awaitable<void> Ask(HttpClient& aClient, Endpoint aPeer,
                          boost::intrusive_ptr<Inquiry> aInquiry)
{
  const auto state = co_await ProbeListener(aClient, std::move(aPeer));
  aInquiry->mListens = aInquiry->mListens || state == ListenState::Listens;
  if (--aInquiry->mOpen == 0 || aInquiry->mListens) {
    aInquiry->mSettled.cancel();
  }
}

} // namespace

const char* NameOf(ListenState aState) noexcept
{
  switch (aState) {
    case ListenState::Listens:
      return "listens";
    case ListenState::Refuses:
      return "refused";
    case ListenState::Silent:
      break;
  }
  return "silent";
}

asio::awaitable<ListenState> ProbeListener(HttpClient& aClient, Endpoint aPeer)
{
  ExchangeOptions options;
  options.mConnectTimeout = kProbeTimeout;
  options.mDeadline = Clock::now() + kProbeTimeout;
  options.mUnacknowledged = kProbeTimeout;
  const auto result =
    co_await aClient.OpenSpare(std::move(aPeer), std::move(options));
  if (!result.mConnectFailed) {
    co_return ListenState::Listens;
  }
  co_return result.mTimedOut ? ListenState::Silent : ListenState::Refuses;
}

asio::awaitable<bool> AnyListens(HttpClient& aClient,
                                 std::vector<Endpoint> aPeers)
{
  if (aPeers.empty()) {
    co_return false;
  }
  const auto executor = co_await asio::this_coro::executor;
  const boost::intrusive_ptr<Inquiry> inquiry(new Inquiry(executor));
  inquiry->mOpen = aPeers.size();
  for (auto& it : aPeers) {
    asio::co_spawn(executor, Ask(aClient, std::move(it), inquiry),
                   asio::detached);
  }
  while (inquiry->mOpen > 0 && !inquiry->mListens) {
    boost::system::error_code ec;
    co_await inquiry->mSettled.async_wait(
      asio::redirect_error(asio::use_awaitable, ec));
  }
  co_return inquiry->mListens;
}

} // namespace guavaline::detail
