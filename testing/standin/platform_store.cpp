#include "standin/platform_store.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace guavaline::testing {

namespace asio = boost::asio;
namespace json = boost::json;
using detail::HttpRequest;
using detail::HttpResponse;
using detail::JsonResponse;

namespace {

constexpr std::string_view kPrefix = "/objects/";
constexpr std::size_t kPage = 500;
constexpr Millis kNever{ 3'600'000 };

std::uint64_t NumberIn(const HttpRequest& aRequest, std::string_view aName)
{
  const auto text =
    detail::QueryParameter(aRequest.mTarget, aName).value_or("0");
  return std::strtoull(text.c_str(), nullptr, 10);
}

json::object ToObject(const std::string& aName, std::uint64_t aRevision,
                      const json::value& aSpec)
{
  return { { "metadata", json::object{ { "name", aName },
                                       { "rev", aRevision },
                                       { "finalizers", json::array{} } } },
           { "spec", aSpec },
           { "status", nullptr } };
}

HttpResponse AnswerWith(unsigned aStatus, const json::object& aBody)
{
  return JsonResponse(aStatus, json::serialize(aBody));
}

} // namespace

PlatformStore::PlatformStore(asio::io_context& aContext, std::uint64_t aSeed)
  : mContext(aContext)
  , mRandom(aSeed)
{
}

std::string PlatformStore::Listen(const std::string& aAddress,
                                  std::uint16_t aPort)
{
  return mServer.Listen(
    mContext, aAddress, aPort,
    [this](HttpRequest a) { return Handle(std::move(a)); },
    detail::HttpServerLimits{});
}

void PlatformStore::Close()
{
  mServer.Close();
  for (const auto& it : mWatches) {
    it->cancel();
  }
}

void PlatformStore::Note(Change aChange)
{
  mHistory.push_back(std::move(aChange));
  for (const auto& it : mWatches) {
    it->cancel();
  }
}

void PlatformStore::Put(const std::string& aKind, const std::string& aName,
                        json::value aSpec)
{
  auto& object = mObjects[aKind][aName];
  if (object.mRevision > 0 && object.mSpec == aSpec) {
    return;
  }
  object = { ++mRevision, aSpec };
  Note({ mRevision, aKind, aName, false, std::move(aSpec) });
}

void PlatformStore::Remove(const std::string& aKind, const std::string& aName)
{
  if (mObjects[aKind].erase(aName) > 0) {
    Note({ ++mRevision, aKind, aName, true, nullptr });
  }
}

bool PlatformStore::Has(const std::string& aKind,
                        const std::string& aName) const
{
  const auto it = mObjects.find(aKind);
  return it != mObjects.end() && it->second.count(aName) > 0;
}

void PlatformStore::SetFaults(const PlatformStoreFaults& aFaults)
{
  mFaults = aFaults;
  for (const auto& it : mWatches) {
    it->cancel();
  }
}

void PlatformStore::DropHistory()
{
  mHistory.clear();
  mHistoryFrom = mRevision;
}

void PlatformStore::KeepCopy()
{
  mCopy = { mRevision, mObjects };
}

void PlatformStore::Restore()
{
  mRevision = mCopy.mRevision;
  mObjects = mCopy.mObjects;
  std::erase_if(mHistory,
                [this](const Change& a) { return a.mRevision > mRevision; });
  ++mEra;
  for (const auto& it : mWatches) {
    it->cancel();
  }
}

json::array PlatformStore::EventsSince(const std::string& aKind,
                                       std::uint64_t aFrom) const
{
  json::array out;
  for (const auto& it : mHistory) {
    if (it.mKind == aKind && it.mRevision > aFrom) {
      out.push_back(
        json::object{ { "object", ToObject(it.mName, it.mRevision, it.mSpec) },
                      { "deleted", it.mDeleted } });
    }
  }
  return out;
}

HttpResponse PlatformStore::List(const std::string& aKind,
                                 const std::string& aAfter) const
{
  json::array items;
  bool more = false;
  if (const auto kind = mObjects.find(aKind); kind != mObjects.end()) {
    for (auto it = kind->second.upper_bound(aAfter); it != kind->second.end();
         ++it) {
      more = items.size() == kPage;
      if (more) {
        break;
      }
      items.push_back(
        ToObject(it->first, it->second.mRevision, it->second.mSpec));
    }
  }
  return AnswerWith(
    200,
    { { "items", std::move(items) }, { "more", more }, { "at", mRevision } });
}

asio::awaitable<void> PlatformStore::Wait(Millis aTime)
{
  if (aTime.count() > 0) {
    asio::steady_timer timer(mContext, aTime);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

PlatformStore::Reply PlatformStore::Watch(std::string aKind,
                                          std::uint64_t aFrom, Millis aWait)
{
  const auto held = [&] { return aFrom >= mHistoryFrom && aFrom <= mRevision; };
  if (held() && EventsSince(aKind, aFrom).empty()) {
    const auto end = Clock::now() + aWait;
    auto timer = std::make_shared<asio::steady_timer>(mContext);
    mWatches.insert(timer);
    boost::system::error_code ec;
    while (Clock::now() < end && held() && EventsSince(aKind, aFrom).empty() &&
           !mFaults.mBusy) {
      timer->expires_at(end);
      co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    mWatches.erase(timer);
  }
  if (mFaults.mSilent) {
    co_await Wait(kNever);
  }
  if (mFaults.mBusy) {
    co_return AnswerWith(503, {});
  }
  if (!held()) {
    co_return AnswerWith(410, {});
  }
  co_return AnswerWith(
    200, { { "events", EventsSince(aKind, aFrom) }, { "at", mRevision } });
}

HttpResponse PlatformStore::Write(const HttpRequest& aRequest,
                                  const std::string& aKind,
                                  const std::string& aName)
{
  auto& objects = mObjects[aKind];
  if (aRequest.mMethod == "DELETE") {
    const auto it = objects.find(aName);
    if (it == objects.end()) {
      return AnswerWith(404, {});
    }
    const auto revision = NumberIn(aRequest, "rev");
    if (revision != 0 && revision != it->second.mRevision) {
      return AnswerWith(
        409, ToObject(aName, it->second.mRevision, it->second.mSpec));
    }
    Remove(aKind, aName);
    return AnswerWith(200, {});
  }
  json::error_code ec;
  const auto body = json::parse(aRequest.mBody, ec);
  const auto* object = ec ? nullptr : body.if_object();
  const auto* spec = object == nullptr ? nullptr : object->if_contains("spec");
  if (spec == nullptr) {
    return AnswerWith(400, {});
  }
  std::string name = aName;
  if (aRequest.mMethod == "POST") {
    name = object->at("metadata").at("name").as_string();
    if (const auto it = objects.find(name); it != objects.end()) {
      return AnswerWith(409,
                        ToObject(name, it->second.mRevision, it->second.mSpec));
    }
  }
  Put(aKind, name, *spec);
  return AnswerWith(200, ToObject(name, objects[name].mRevision, *spec));
}

PlatformStore::Reply PlatformStore::Handle(HttpRequest aRequest)
{
  auto out = co_await Answer(std::move(aRequest));
  out.mHeaders.push_back({ "Store-Era", std::to_string(mEra) });
  co_return out;
}

PlatformStore::Reply PlatformStore::Answer(HttpRequest aRequest)
{
  std::string path(detail::PathOf(aRequest.mTarget));
  if (path.compare(0, kPrefix.size(), kPrefix) != 0) {
    co_return AnswerWith(404, {});
  }
  path = path.substr(kPrefix.size());
  const auto slash = path.find('/');
  const auto kind = path.substr(0, slash);
  const auto name = slash == std::string::npos ? "" : path.substr(slash + 1);
  co_await Wait(mFaults.mDelay);
  if (mFaults.mSilent) {
    co_await Wait(kNever);
  }
  if (mFaults.mBusy) {
    co_return AnswerWith(503, {});
  }
  if (aRequest.mMethod != "GET") {
    auto out = Write(aRequest, kind, name);
    std::uniform_real_distribution<double> part(0, 1);
    if (part(mRandom) < mFaults.mLoseWrites) {
      co_await Wait(kNever);
    }
    co_return out;
  }
  if (detail::QueryParameter(aRequest.mTarget, "watch")) {
    co_return co_await Watch(kind, NumberIn(aRequest, "watch"),
                             Millis(NumberIn(aRequest, "wait_ms")));
  }
  co_return List(
    kind, detail::QueryParameter(aRequest.mTarget, "after").value_or(""));
}

} // namespace guavaline::testing
