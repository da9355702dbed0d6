#include "load/driver.hpp"

#include <guavaline/core/hash.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <random>

namespace guavaline::testing {

namespace asio = boost::asio;

namespace {

constexpr double kMillisPerSecond = 1000;
constexpr double kMicrosPerSecond = 1'000'000;
constexpr Millis kEndPoll{ 20 };

/// Parts of the requests by class.
struct ClassPart
{
  const char* mClass;
  double mPart;
  Millis mTimeout;
  std::size_t mBodyBytes;
};
constexpr ClassPart kClassParts[] = { { "check", 0.7, Millis(2'000), 0 },
                                      { "confirm", 0.2, Millis(5'000), 300 },
                                      { "upload", 0.1, Millis(10'000),
                                        20'000 } };

const char* MethodOf(const std::string& aClass)
{
  if (aClass == "confirm") {
    return "POST";
  }
  return aClass == "upload" ? "PUT" : "GET";
}

const char* NameOf(detail::CallOutcome aOutcome)
{
  switch (aOutcome) {
    case detail::CallOutcome::Answered:
      return "answered";
    case detail::CallOutcome::NotRun:
      return "not_run";
    case detail::CallOutcome::Unknown:
      break;
  }
  return "unknown";
}

Event MakeEvent(EventKind aKind, const LoadStream& aStream,
                const std::string& aIdentity)
{
  Event out;
  out.mKind = aKind;
  out.mIdentity = aIdentity;
  out.mService = aStream.mService;
  out.mClass = aStream.mClass;
  out.mPlace = aStream.mPlace;
  return out;
}

/// The answer's own words on which request it belongs to.
std::string FieldIn(const std::string& aBody, const char* aField)
{
  boost::json::error_code ec;
  const auto value = boost::json::parse(aBody, ec);
  if (ec || !value.is_object()) {
    return {};
  }
  const auto* it = value.get_object().if_contains(aField);
  return it != nullptr && it->is_string() ? std::string(it->get_string())
                                          : std::string();
}

class Driver
{
public:
  Driver(asio::io_context& aContext, const LoadPlan& aPlan, History& aHistory)
    : mContext(aContext)
    , mPlan(aPlan)
    , mHistory(aHistory)
    , mHttp(aContext.get_executor())
    , mRandom(aPlan.mSeed)
  {
  }

  asio::awaitable<void> Run()
  {
    for (std::size_t n = 0; n < mPlan.mStreams.size(); ++n) {
      ++mOpen;
      asio::co_spawn(mContext, RunStream(n), asio::detached);
    }
    asio::steady_timer timer(mContext);
    while (mOpen > 0) {
      timer.expires_after(kEndPoll);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

private:
  asio::awaitable<void> RunStream(std::size_t aIndex)
  {
    const auto& stream = mPlan.mStreams[aIndex];
    std::vector<std::shared_ptr<detail::Caller>> callers;
    for (std::size_t n = 0; n < mPlan.mCallersPerStream; ++n) {
      callers.push_back(std::make_shared<detail::Caller>(
        mHttp, mPlan.mEntries, stream.mPlace,
        "s" + std::to_string(mPlan.mSeed) + "-" + std::to_string(aIndex) + "-" +
          std::to_string(n)));
    }
    std::exponential_distribution<double> gap(stream.mPerSecond);
    const auto end = Clock::now() + mPlan.mDuration;
    auto next = Clock::now();
    asio::steady_timer timer(mContext);
    std::size_t n = 0;
    while (next < end) {
      next += std::chrono::microseconds(
        static_cast<std::int64_t>(gap(mRandom) * kMicrosPerSecond));
      timer.expires_at(next);
      co_await timer.async_wait(asio::use_awaitable);
      ++mOpen;
      asio::co_spawn(mContext,
                     RunCall(stream, callers[n++ % callers.size()], next),
                     asio::detached);
    }
    --mOpen;
  }

  asio::awaitable<void> RunCall(LoadStream aStream,
                                std::shared_ptr<detail::Caller> aCaller,
                                TimePoint aIntended)
  {
    detail::ServiceCall call;
    call.mService = aStream.mService;
    call.mMethod = MethodOf(aStream.mClass);
    call.mPath = "/" + aStream.mClass + "/" + std::to_string(++mCalls);
    if (!aStream.mPath.empty()) {
      call.mPath = aStream.mPath;
    }
    call.mTimeout = aStream.mTimeout;
    call.mBody = aStream.mBody;
    if (call.mBody.empty() && call.mMethod != std::string("GET")) {
      call.mBody =
        std::to_string(mCalls) + std::string(aStream.mBodyBytes, 'x');
    }
    const auto digest = HexId(Hash(call.mBody));
    detail::CallObserver observer;
    std::int64_t attempt = 0;
    observer.mSent = [&](const std::string& aIdentity,
                         const std::string& aEntry) {
      auto event = MakeEvent(EventKind::CallSent, aStream, aIdentity);
      event.mPeer = aEntry;
      event.mDigest = digest;
      event.mAttempt = ++attempt;
      mHistory.Add(std::move(event));
    };
    observer.mReturned = [&](const std::string& aIdentity,
                             const std::string& aEntry,
                             const detail::ExchangeResult& aResult) {
      auto event = Returned(aStream, aIdentity, aEntry, aResult);
      event.mAttempt = attempt;
      mHistory.Add(std::move(event));
    };
    const auto result = co_await aCaller->Send(std::move(call), observer);
    auto event = MakeEvent(EventKind::CallEnded, aStream, result.mIdentity);
    event.mOutcome = NameOf(result.mOutcome);
    event.mStatus = static_cast<std::int64_t>(result.mResponse.mStatus);
    event.mLatencyMicros =
      std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() -
                                                            aIntended)
        .count();
    mHistory.Add(std::move(event));
    --mOpen;
  }

  static Event Returned(const LoadStream& aStream, const std::string& aIdentity,
                        const std::string& aEntry,
                        const detail::ExchangeResult& aResult)
  {
    auto out = MakeEvent(aResult.mResponse ? EventKind::CallAnswered
                                           : EventKind::CallFailed,
                         aStream, aIdentity);
    out.mPeer = aEntry;
    if (!aResult.mResponse) {
      out.mOutcome = aResult.mError.mStep + ": " + aResult.mError.mReason;
      return out;
    }
    const auto& response = *aResult.mResponse;
    out.mStatus = response.mStatus;
    out.mRan = detail::FindHeader(response.mHeaders, "Guavaline-Ran");
    out.mOutcome = detail::FindHeader(response.mHeaders, "Guavaline-Reason");
    if (out.mRan == "yes") {
      out.mDigest = FieldIn(response.mBody, "digest");
      if (FieldIn(response.mBody, "identity") != aIdentity) {
        out.mDigest = "another identity";
      }
    }
    return out;
  }

  asio::io_context& mContext;
  const LoadPlan& mPlan;
  History& mHistory;
  detail::HttpClient mHttp;
  std::mt19937_64 mRandom;
  std::size_t mOpen = 0;
  std::uint64_t mCalls = 0;
};

} // namespace

asio::awaitable<void> RunLoad(asio::io_context& aContext, LoadPlan aPlan,
                              History& aHistory)
{
  Driver driver(aContext, aPlan, aHistory);
  co_await driver.Run();
}

std::vector<LoadStream> StreamsFor(const Configuration& aConfiguration,
                                   double aUtilization, double aMeanMs)
{
  std::vector<LoadStream> out;
  for (const auto& service : aConfiguration.mServices) {
    double slots = 0;
    for (const auto& it : service.mTargets) {
      slots += it.mSlots;
    }
    const auto perSecond = slots * aUtilization * kMillisPerSecond / aMeanMs;
    for (const auto& region : aConfiguration.mRegions) {
      for (const auto& it : kClassParts) {
        LoadStream stream;
        stream.mService = service.mName;
        stream.mClass = it.mClass;
        stream.mPlace = region.mName;
        stream.mPerSecond = perSecond * it.mPart /
                            static_cast<double>(aConfiguration.mRegions.size());
        stream.mTimeout = it.mTimeout;
        stream.mBodyBytes = it.mBodyBytes;
        out.push_back(std::move(stream));
      }
    }
  }
  return out;
}

} // namespace guavaline::testing
