#include "standin/store.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace guavaline::testing {

namespace asio = boost::asio;
using detail::HttpRequest;
using detail::HttpResponse;
using detail::JsonResponse;
using detail::PathOf;
using detail::QueryParameter;

namespace {

constexpr std::uint64_t kMaxValueBytes = 1ULL << 20U;

std::uint64_t NumberIn(const HttpRequest& aRequest, std::string_view aName)
{
  const auto text = QueryParameter(aRequest.mTarget, aName).value_or("0");
  return std::strtoull(text.c_str(), nullptr, 10);
}

std::string TextIn(const HttpRequest& aRequest, std::string_view aName)
{
  return QueryParameter(aRequest.mTarget, aName).value_or("");
}

HttpResponse WithObjects(std::uint64_t aVersion,
                         std::vector<detail::WireObject> aObjects)
{
  detail::WireAnswer answer;
  answer.mVersion = aVersion;
  answer.mObjects = std::move(aObjects);
  return JsonResponse(200, detail::ToJson(answer));
}

} // namespace

StoreStandin::StoreStandin(asio::io_context& aContext)
  : mContext(aContext)
{
}

std::string StoreStandin::Listen(const std::string& aAddress,
                                 std::uint16_t aPort)
{
  return mServer.Listen(
    mContext, aAddress, aPort,
    [this](HttpRequest a) { return Handle(std::move(a)); },
    detail::HttpServerLimits{});
}

void StoreStandin::SetFaults(const StoreFaults& aFaults)
{
  mFaults = aFaults;
  if (aFaults.mOut) {
    Notify();
  }
}

void StoreStandin::SetHost(const std::string& aName, const std::string& aState)
{
  mHosts[aName] = aState;
}

std::vector<detail::WireObject> StoreStandin::Above(const std::string& aPrefix,
                                                    std::uint64_t aFrom) const
{
  std::vector<detail::WireObject> out;
  for (const auto& [key, object] : mObjects) {
    if (key.compare(0, aPrefix.size(), aPrefix) == 0 &&
        object.mVersion > aFrom) {
      out.push_back(object);
    }
  }
  return out;
}

void StoreStandin::Notify()
{
  for (const auto& it : mWatches) {
    it->cancel();
  }
}

HttpResponse StoreStandin::Write(const HttpRequest& aRequest)
{
  const auto key = TextIn(aRequest, "key");
  if (aRequest.mBody.size() > kMaxValueBytes) {
    return JsonResponse(413, "{}");
  }
  const auto it = mObjects.find(key);
  const auto present = it == mObjects.end() ? 0 : it->second.mVersion;
  if (present != NumberIn(aRequest, "if_version")) {
    return JsonResponse(409, "{}");
  }
  mObjects[key] = { key, ++mVersion, aRequest.mBody };
  if (mOnWrite) {
    mOnWrite(key, mVersion);
  }
  Notify();
  return WithObjects(mVersion, {});
}

HttpResponse StoreStandin::Remove(const HttpRequest& aRequest)
{
  const auto it = mObjects.find(TextIn(aRequest, "key"));
  if (it == mObjects.end()) {
    return JsonResponse(404, "{}");
  }
  if (it->second.mVersion != NumberIn(aRequest, "if_version")) {
    return JsonResponse(409, "{}");
  }
  mObjects.erase(it);
  return WithObjects(++mVersion, {});
}

asio::awaitable<HttpResponse> StoreStandin::Watch(HttpRequest aRequest)
{
  const auto prefix = TextIn(aRequest, "prefix");
  const auto from = NumberIn(aRequest, "from");
  const auto wait = Millis(NumberIn(aRequest, "wait_ms"));
  if (Above(prefix, from).empty()) {
    auto timer = std::make_shared<asio::steady_timer>(mContext, wait);
    mWatches.insert(timer);
    boost::system::error_code ec;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ec));
    mWatches.erase(timer);
  }
  if (mFaults.mOut) {
    co_return JsonResponse(503, "{}");
  }
  co_return WithObjects(mVersion, Above(prefix, from));
}

HttpResponse StoreStandin::Admin(const HttpRequest& aRequest)
{
  const auto host = TextIn(aRequest, "host");
  if (!host.empty()) {
    SetHost(host, TextIn(aRequest, "state"));
  } else {
    StoreFaults faults;
    faults.mOut = TextIn(aRequest, "out") == "true";
    faults.mDelay = Millis(NumberIn(aRequest, "delay_ms"));
    faults.mLoseAnswers =
      static_cast<std::uint32_t>(NumberIn(aRequest, "lose_answers"));
    SetFaults(faults);
  }
  return JsonResponse(200, "{\"calls\":" + std::to_string(mCalls) + "}");
}

asio::awaitable<HttpResponse> StoreStandin::Handle(HttpRequest aRequest)
{
  const std::string path(PathOf(aRequest.mTarget));
  if (path == "/admin") {
    co_return Admin(aRequest);
  }
  ++mCalls;
  if (mFaults.mDelay.count() > 0) {
    asio::steady_timer timer(mContext, mFaults.mDelay);
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (mFaults.mOut) {
    co_return JsonResponse(503, "{}");
  }
  if (path == "/watch") {
    co_return co_await Watch(std::move(aRequest));
  }
  if (path == "/hosts") {
    std::vector<detail::WireObject> hosts;
    for (const auto& [name, state] : mHosts) {
      hosts.push_back({ name, 1, state });
    }
    co_return WithObjects(mVersion, std::move(hosts));
  }
  if (path != "/objects") {
    co_return JsonResponse(404, "{}");
  }
  if (aRequest.mMethod == "PUT" || aRequest.mMethod == "DELETE") {
    auto out = aRequest.mMethod == "PUT" ? Write(aRequest) : Remove(aRequest);
    if (mFaults.mLoseAnswers > 0) {
      // The write took effect; its answer never comes.
      --mFaults.mLoseAnswers;
      asio::steady_timer never(mContext, asio::steady_timer::time_point::max());
      co_await never.async_wait(asio::use_awaitable);
    }
    co_return out;
  }
  if (QueryParameter(aRequest.mTarget, "prefix")) {
    co_return WithObjects(mVersion, Above(TextIn(aRequest, "prefix"), 0));
  }
  const auto it = mObjects.find(TextIn(aRequest, "key"));
  if (it == mObjects.end()) {
    co_return JsonResponse(404, "{}");
  }
  co_return WithObjects(it->second.mVersion, { it->second });
}

} // namespace guavaline::testing
