#include "standin/target.hpp"

#include "forwarding/exchange.hpp"

#include <guavaline/core/hash.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <stdexcept>

namespace guavaline::testing {

namespace asio = boost::asio;
using detail::FindHeader;
using detail::HttpRequest;
using detail::HttpResponse;
using detail::JsonResponse;
using detail::kAttemptHeader;

namespace {

constexpr Millis kRestartAfter{ 1'000 };

} // namespace

/// Counts a run in and out; ends as cancelled unless told otherwise.
class RunScope
{
public:
  RunScope(TargetStandin& aTarget, const HttpRequest& aRequest)
    : mTarget(aTarget)
    , mEnd(aTarget.MakeEvent(EventKind::RunCancelled, aRequest))
  {
    ++mTarget.mInFlight;
    auto event = aTarget.MakeEvent(EventKind::RunStarted, aRequest);
    event.mInFlight = mTarget.mInFlight;
    mTarget.mHistory.Add(std::move(event));
  }
  ~RunScope()
  {
    --mTarget.mInFlight;
    mTarget.mHistory.Add(std::move(mEnd));
  }
  RunScope(const RunScope&) = delete;
  RunScope& operator=(const RunScope&) = delete;
  RunScope(RunScope&&) = delete;
  RunScope& operator=(RunScope&&) = delete;

  void Finish() noexcept { mEnd.mKind = EventKind::RunEnded; }

private:
  TargetStandin& mTarget;
  Event mEnd;
};

TargetStandin::TargetStandin(asio::io_context& aContext, std::string aService,
                             Target aTarget,
                             std::map<std::string, Millis> aDelays,
                             History& aHistory, std::uint64_t aSeed)
  : mContext(aContext)
  , mService(std::move(aService))
  , mTarget(std::move(aTarget))
  , mDelays(std::move(aDelays))
  , mHistory(aHistory)
  , mRandom(aSeed)
{
}

std::string TargetStandin::Start()
{
  mServer = std::make_unique<detail::HttpServer>();
  return mServer->Listen(
    mContext, mTarget.mAddress, mTarget.mPort,
    [this](HttpRequest a) { return Handle(std::move(a)); },
    detail::HttpServerLimits{});
}

asio::awaitable<void> TargetStandin::RestartLater()
{
  co_await Wait(kRestartAfter);
  if (const auto problem = Start(); !problem.empty()) {
    throw std::runtime_error(mTarget.mName + " cannot restart: " + problem);
  }
}

void TargetStandin::Crash()
{
  // Not from within a handler, whose connection this closes.
  asio::post(mContext, [this] {
    mServer->Close();
    asio::co_spawn(mContext, RestartLater(), asio::detached);
  });
}

void TargetStandin::Announce()
{
  mBehaviour.mLeavingByHealth = true;
  Event event;
  event.mKind = EventKind::TargetLeaving;
  event.mPeer = mTarget.mName;
  mHistory.Add(std::move(event));
}

Event TargetStandin::MakeEvent(EventKind aKind,
                               const HttpRequest& aRequest) const
{
  Event out;
  out.mKind = aKind;
  out.mIdentity = FindHeader(aRequest.mHeaders, "Guavaline-Identity");
  out.mService = mService;
  out.mClass = aRequest.mMethod;
  out.mRegion = mTarget.mRegion;
  out.mPeer = mTarget.mName;
  out.mDigest = HexId(Hash(aRequest.mBody));
  out.mSlots = mTarget.mSlots;
  const std::string attempt(FindHeader(aRequest.mHeaders, kAttemptHeader));
  out.mAttempt = std::strtoll(attempt.c_str(), nullptr, 10);
  return out;
}

asio::awaitable<void> TargetStandin::Wait(std::chrono::microseconds aTime)
{
  if (aTime.count() > 0) {
    asio::steady_timer timer(mContext, aTime);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

std::chrono::microseconds TargetStandin::ServiceTime()
{
  constexpr double kMicrosPerMilli = 1000;
  std::exponential_distribution<double> spread(1.0);
  auto ms = spread(mRandom) * mBehaviour.mMeanServiceMs;
  ms *= mBehaviour.mSlowFactor;
  if (mFirstRequest == TimePoint{}) {
    mFirstRequest = Clock::now();
  }
  if (Clock::now() - mFirstRequest < mBehaviour.mColdFor) {
    ms *= mBehaviour.mColdFactor;
  }
  return std::chrono::microseconds(
    static_cast<std::int64_t>(ms * kMicrosPerMilli));
}

HttpResponse TargetStandin::Health() const
{
  const auto load =
    static_cast<double>(mInFlight) / static_cast<double>(mTarget.mSlots);
  return JsonResponse(mBehaviour.mProbesFail ? 500 : 200,
                      "{\"load\":" + std::to_string(load) + ",\"leaving\":" +
                        (mBehaviour.mLeavingByHealth ? "true" : "false") + "}");
}

asio::awaitable<HttpResponse> TargetStandin::Run(const HttpRequest& aRequest)
{
  RunScope scope(*this, aRequest);
  if (aRequest.mBody == kCrashBody) {
    Crash();
    co_await Wait(std::chrono::hours(1));
  }
  co_await Wait(ServiceTime());
  scope.Finish();
  boost::json::object body;
  body["target"] = mTarget.mName;
  body["identity"] = FindHeader(aRequest.mHeaders, "Guavaline-Identity");
  body["digest"] = HexId(Hash(aRequest.mBody));
  body["path"] = aRequest.mTarget;
  auto out = JsonResponse(200, boost::json::serialize(body));
  if (mBehaviour.mLeavingByAnswers) {
    out.mHeaders.push_back({ "Target-Leaving", "yes" });
  }
  co_return out;
}

asio::awaitable<HttpResponse> TargetStandin::Handle(HttpRequest aRequest)
{
  const std::string exchange(
    FindHeader(aRequest.mHeaders, detail::kExchangeHeader));
  auto out = co_await Answer(std::move(aRequest));
  out.mHeaders.push_back({ detail::kExchangeHeader, exchange });
  co_return out;
}

asio::awaitable<HttpResponse> TargetStandin::Answer(HttpRequest aRequest)
{
  mLastConnection = std::max(mLastConnection, aRequest.mConnection);
  const auto delay =
    mDelays[std::string(FindHeader(aRequest.mHeaders, "Guavaline-From"))];
  co_await Wait(delay);
  if (aRequest.mConnection <= mBehaviour.mSilentUpTo) {
    co_await Wait(std::chrono::hours(1));
  }
  if (aRequest.mTarget == "/health") {
    co_await Wait(delay);
    co_return Health();
  }
  if (mInFlight >= mTarget.mSlots) {
    auto event = MakeEvent(EventKind::TargetShed, aRequest);
    event.mInFlight = mInFlight;
    mHistory.Add(std::move(event));
    auto out = JsonResponse(503, "{}");
    out.mHeaders.push_back({ "Target-Ran", "no" });
    co_return out;
  }
  auto out = co_await Run(aRequest);
  co_await Wait(delay);
  if (mBehaviour.mDropAnswers) {
    Crash();
    co_await Wait(std::chrono::hours(1));
  }
  co_return out;
}

} // namespace guavaline::testing
