#include "platform/store_client.hpp"

#include "platform/store_wire.hpp"

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

constexpr Millis kWatchGrace{ 2'000 };

HttpRequest MakeGet(std::string aTarget)
{
  HttpRequest out;
  out.mTarget = std::move(aTarget);
  return out;
}

StoreResult Interpret(const ExchangeResult& aResult, bool aWrites)
{
  StoreResult out;
  if (!aResult.mResponse) {
    const bool maybe = aWrites && aResult.mMayHaveReached;
    out.mStatus =
      maybe ? StoreStatus::UnknownOutcome : StoreStatus::Unavailable;
    out.mError = aResult.mError;
    return out;
  }
  const auto& response = *aResult.mResponse;
  WireAnswer answer;
  if (response.mStatus == 404) {
    out.mStatus = StoreStatus::NotFound;
    return out;
  }
  if (response.mStatus == 409) {
    out.mStatus = StoreStatus::Conflict;
    return out;
  }
  if (response.mStatus != 200 || !FromJson(response.mBody, answer).empty()) {
    out.mStatus = StoreStatus::Unavailable;
    out.mError = { "store", "",
                   "answered " + std::to_string(response.mStatus) };
    return out;
  }
  out.mStatus = StoreStatus::Ok;
  out.mVersion = answer.mVersion.value_or(0);
  for (auto& it : answer.mObjects) {
    out.mObjects.push_back(
      { std::move(it.mKey), it.mVersion, std::move(it.mValue) });
  }
  return out;
}

asio::awaitable<StoreResult> Read(const StoreClient& aStore,
                                  HttpRequest aRequest, Millis aTimeout)
{
  ExchangeOptions options;
  options.mDeadline = Clock::now() + aTimeout;
  const auto result = co_await aStore.mHttp.Exchange(
    aStore.mEndpoint, std::move(aRequest), options);
  co_return Interpret(result, false);
}

std::string ObjectTarget(const std::string& aKey)
{
  return "/objects?key=" + EncodeParameter(aKey);
}

} // namespace

asio::awaitable<StoreResult> GetObject(const StoreClient& aStore,
                                       std::string aKey)
{
  co_return co_await Read(aStore, MakeGet(ObjectTarget(aKey)), aStore.mTimeout);
}

asio::awaitable<StoreResult> WatchObjects(const StoreClient& aStore,
                                          std::string aPrefix,
                                          std::uint64_t aFrom, Millis aWait)
{
  const auto target = "/watch?prefix=" + EncodeParameter(aPrefix) +
                      "&from=" + std::to_string(aFrom) +
                      "&wait_ms=" + MillisText(aWait);
  co_return co_await Read(aStore, MakeGet(target), aWait + kWatchGrace);
}

asio::awaitable<StoreResult> ListHosts(const StoreClient& aStore)
{
  co_return co_await Read(aStore, MakeGet("/hosts"), aStore.mTimeout);
}

StoreResult GetObjectNow(const Endpoint& aStore, const std::string& aKey,
                         Millis aTimeout)
{
  return Interpret(ExchangeNow(aStore, MakeGet(ObjectTarget(aKey)), aTimeout),
                   false);
}

StoreResult PutObjectNow(const Endpoint& aStore, const std::string& aKey,
                         std::uint64_t aIfVersion, const std::string& aValue,
                         Millis aTimeout)
{
  HttpRequest request;
  request.mMethod = "PUT";
  request.mTarget =
    ObjectTarget(aKey) + "&if_version=" + std::to_string(aIfVersion);
  request.mBody = aValue;
  return Interpret(ExchangeNow(aStore, request, aTimeout), true);
}

} // namespace guavaline::detail
