#include "entry/spares.hpp"

#include "entry/contention.hpp"
#include "entry/entry.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

/// A target counts as in use this long after a request. Objects stay warm
/// there about as long.
constexpr Millis kInUse{ 12'000 };
/// A spare connection is renewed at this age; idempotent requests use kept
/// connections for up to 9 s.
constexpr Millis kFresh{ 7'500 };
/// Connections opened in one upkeep period of 200 ms, so that their cost
/// spreads: 20 a second.
constexpr std::size_t kMaxOpened = 4;
constexpr Millis kConnectTimeout{ 700 };
constexpr Millis kUnacknowledged{ 1'500 };

asio::awaitable<void> Open(Entry& aEntry, Endpoint aEndpoint)
{
  ExchangeOptions options;
  options.mDeadline = Clock::now() + kConnectTimeout;
  options.mConnectTimeout = kConnectTimeout;
  options.mUnacknowledged = kUnacknowledged;
  co_await aEntry.mTargetClient.OpenSpare(std::move(aEndpoint),
                                          std::move(options));
}

} // namespace

std::vector<TargetPtr> FarTargetsInUse(const TargetRegistry& aRegistry,
                                       const std::string& aOwnRegion,
                                       TimePoint aNow)
{
  std::vector<TargetPtr> out;
  for (const auto& [id, target] : aRegistry.mTargets) {
    const auto& load = target->mLoad;
    if (target->mRegion != aOwnRegion && load.mOwn == 0 &&
        aNow - load.mLastSend <= kInUse && aNow >= load.mEjectedUntil &&
        MayServe(aRegistry, *target, aNow)) {
      out.push_back(target);
    }
  }
  // Those used last come first, as not all may be served at once.
  std::sort(out.begin(), out.end(), [](const TargetPtr& a, const TargetPtr& b) {
    return a->mLoad.mLastSend > b->mLoad.mLastSend;
  });
  return out;
}

void KeepSpareConnections(Entry& aEntry, TimePoint aNow)
{
  if (!IsAnyContended(aEntry)) {
    return;
  }
  std::size_t opened = 0;
  for (const auto& it :
       FarTargetsInUse(aEntry.mRegistry, aEntry.mSettings.mRegion, aNow)) {
    if (!IsContended(aEntry, it->mRegistration.mService) ||
        PausedFor(*it, aNow) > Millis(0) || aNow < it->mColdUntil) {
      continue;
    }
    const auto endpoint = ParseEndpoint(it->mRegistration.mAddress);
    if (!endpoint || aEntry.mTargetClient.HasFresh(*endpoint, kFresh, aNow)) {
      continue;
    }
    asio::co_spawn(aEntry.mContext, Open(aEntry, *endpoint), asio::detached);
    aEntry.mMetrics.Count("spare_connections",
                          "service=\"" + it->mRegistration.mService + "\"");
    if (++opened == kMaxOpened) {
      return;
    }
  }
}

} // namespace guavaline::detail
