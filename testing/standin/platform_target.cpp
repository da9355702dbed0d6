#include "standin/platform_target.hpp"

#include <guavaline/core/hash.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

namespace guavaline::testing {

namespace asio = boost::asio;

namespace {

/// One run in this many ends with a status that says "not run", unmarked.
constexpr std::uint64_t kRunsPerFalseRefusal = 50;
/// One id in this many is refused at first sight.
constexpr std::uint64_t kIdsPerFirstRefusal = 10;

} // namespace

using detail::FindHeader;
using detail::HttpRequest;
using detail::HttpResponse;

std::string AttemptIdentity(std::string_view aId, std::string_view aAttempt)
{
  std::string out(aId);
  if (!aAttempt.empty()) {
    out.append("/").append(aAttempt);
  }
  return out;
}

/// Counts a run in and out; it ends as cancelled unless told otherwise.
class PlatformRun
{
public:
  PlatformRun(PlatformTarget& aTarget, const HttpRequest& aRequest)
    : mTarget(aTarget)
  {
    mEvent.mKind = EventKind::RunStarted;
    mEvent.mIdentity =
      AttemptIdentity(FindHeader(aRequest.mHeaders, "X-Request-Id"),
                      FindHeader(aRequest.mHeaders, kSoakAttemptHeader));
    mEvent.mPlace = FindHeader(aRequest.mHeaders, kEntryHeader);
    mEvent.mService = mTarget.mOptions.mService;
    mEvent.mPeer = mTarget.mOptions.mId;
    mEvent.mClass = aRequest.mMethod;
    mEvent.mDigest = HexId(Hash(aRequest.mBody));
    mEvent.mInFlight = ++mTarget.mInFlight;
    mTarget.mHistory.Add(mEvent);
    mEvent.mKind = EventKind::RunCancelled;
  }
  ~PlatformRun()
  {
    --mTarget.mInFlight;
    mTarget.mHistory.Add(std::move(mEvent));
  }
  PlatformRun(const PlatformRun&) = delete;
  PlatformRun& operator=(const PlatformRun&) = delete;
  PlatformRun(PlatformRun&&) = delete;
  PlatformRun& operator=(PlatformRun&&) = delete;

  void Finish() noexcept { mEvent.mKind = EventKind::RunEnded; }
  [[nodiscard]] const Event& About() const noexcept { return mEvent; }

private:
  PlatformTarget& mTarget;
  Event mEvent;
};

PlatformTarget::PlatformTarget(asio::io_context& aContext,
                               PlatformTargetOptions aOptions,
                               History& aHistory, std::uint64_t aSeed)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mHistory(aHistory)
  , mRandom(aSeed)
{
}

std::string PlatformTarget::Start()
{
  mHeldPort.reset();
  ++mLife;
  mServer = std::make_unique<detail::HttpServer>();
  return mServer->Listen(
    mContext, mOptions.mAddress, mOptions.mPort,
    [this, life = mLife](HttpRequest a) { return Handle(life, std::move(a)); },
    detail::HttpServerLimits{});
}

void PlatformTarget::Crash()
{
  if (IsDown()) {
    return;
  }
  ++mLife;
  if (mManner == CrashManner::Mute) {
    mServer->StopListening();
    mMuteServers.push_back(std::move(mServer));
    mServer = std::make_unique<detail::HttpServer>();
  } else {
    mServer->Close();
  }
  mHeldPort = std::make_unique<HeldPort>(
    mContext, mOptions.mAddress, mOptions.mPort,
    mManner == CrashManner::Refuses ? PortManner::Refuses : PortManner::Silent);
}

void PlatformTarget::MoveTo(std::uint16_t aPort)
{
  mLeftPorts.push_back(std::move(mHeldPort));
  mOptions.mPort = aPort;
}

asio::awaitable<void> PlatformTarget::NeverAnswer()
{
  asio::steady_timer never(mContext, TimePoint::max());
  co_await never.async_wait(asio::use_awaitable);
}

void PlatformTarget::Become(std::string aId, std::string aService)
{
  mOptions.mId = std::move(aId);
  mOptions.mService = std::move(aService);
}

void PlatformTarget::CrashByRequest()
{
  // The connection that is being served must outlive its handler.
  asio::post(mContext, [this] {
    Crash();
    if (mOnCrash) {
      mOnCrash();
    }
  });
}

HttpResponse PlatformTarget::RefuseAfterRun(HttpResponse aAnswer) const
{
  constexpr std::array<unsigned, 3> kStatuses{ 503, 429, 408 };
  aAnswer.mStatus = kStatuses[mRuns / kRunsPerFalseRefusal % kStatuses.size()];
  return aAnswer;
}

bool PlatformTarget::RefusesAtFirstSight(const std::string& aId)
{
  return mRefusesFirst && !aId.empty() &&
         HashPair(mRefusalSeed, Hash(aId)) % kIdsPerFirstRefusal == 0 &&
         mRefusedIds.insert(aId).second;
}

asio::awaitable<HttpResponse> PlatformTarget::Handle(std::uint64_t aLife,
                                                     HttpRequest aRequest)
{
  if (aLife != mLife) {
    co_await NeverAnswer();
  }
  HttpResponse out;
  out.mHeaders = { { "X-Request-Id", std::string(FindHeader(aRequest.mHeaders,
                                                            "X-Request-Id")) },
                   { "Keep-Alive", "timeout=5" } };
  if (FindHeader(aRequest.mHeaders, "X-Target-Instance") != mOptions.mId) {
    out.mStatus = 421;
    co_return out;
  }
  if (mInFlight >= 2 * mOptions.mSlots) {
    out.mStatus = 503;
    out.mHeaders.push_back({ "X-Not-Executed", "1" });
    co_return out;
  }
  if (RefusesAtFirstSight(out.mHeaders.front().mValue)) {
    out.mStatus = mRefusedIds.size() % 2 == 0 ? 503 : 429;
    out.mHeaders.push_back({ "X-Not-Executed", "1" });
    co_return out;
  }
  PlatformRun run(*this, aRequest);
  if (aRequest.mTarget.find(kCrashPath) != std::string::npos) {
    CrashByRequest();
  }
  std::exponential_distribution<double> spread(1 / mOptions.mMeanMs);
  asio::steady_timer timer(
    mContext, Millis(static_cast<std::int64_t>(spread(mRandom) * mSlow)));
  co_await timer.async_wait(asio::use_awaitable);
  if (aLife != mLife) {
    co_await NeverAnswer();
  }
  run.Finish();
  if (++mRuns % kRunsPerFalseRefusal == 0 && mOptions.mRefusesFalsely) {
    co_return RefuseAfterRun(std::move(out));
  }
  if (mPerSecond > 0) {
    out.mHeaders.push_back({ "Server-Limit", std::to_string(mPerSecond) });
  }
  out.mHeaders.push_back({ "X-Server-Seal", mOptions.mId });
  out.mHeaders.push_back(
    { "X-Backend-Load", std::to_string(mInFlight - 1) + ",0," +
                          std::to_string(mOptions.mSlots) });
  out.mBody = run.About().mIdentity + " " + run.About().mDigest + " whole";
  co_return out;
}

} // namespace guavaline::testing
