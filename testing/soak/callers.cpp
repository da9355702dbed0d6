#include "soak/callers.hpp"

#include "soak/checks.hpp"
#include "standin/platform_target.hpp"

#include <guavaline/core/hash.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace guavaline::testing {

namespace asio = boost::asio;
using detail::ExchangeOptions;
using detail::ExchangeResult;
using detail::FindHeader;
using detail::HttpRequest;

namespace {

constexpr Millis kLookupTimeout{ 1'000 };
constexpr Millis kLookupTtl{ 2'000 };
constexpr Millis kKeep{ 60'000 };
constexpr double kMicrosPerSecond = 1'000'000;
constexpr int kMaxAttempts = 2;
/// Where a refused request comes again with its id.
constexpr int kMaxKeptAttempts = 4;
constexpr std::uint64_t kMaxPauseMs = 200;
constexpr std::size_t kObjects = 40;

/// A kind of request.
struct Kind
{
  const char* mMethod;
  const char* mPath;
  Millis mLimit;
  std::size_t mBytes;
};
constexpr Kind kReads{ "GET", "/read/", Millis(2'000), 0 };
constexpr Kind kConfirmations{ "POST", "/confirm/", Millis(2'500), 400 };
constexpr Kind kUploads{ "POST", "/upload/", Millis(2'000), 40'000 };
constexpr Kind kCrashing{ "GET", "/read/crash/", Millis(2'000), 0 };
constexpr Millis kCrasherGap{ 300 };
constexpr Kind kSplit{ kSplitMethod, "/split/", Millis(2'000), 100 };

/// Status codes that promise that a request has not run.
bool IsPromise(unsigned aStatus)
{
  return aStatus == 503 || aStatus == 429 || aStatus == 408 || aStatus == 421;
}

class SoakCaller
{
public:
  SoakCaller(asio::io_context& aContext, const SoakCallersOptions& aOptions,
             std::size_t aIndex, History& aHistory)
    : mContext(aContext)
    , mOptions(aOptions)
    , mName("c" + std::to_string(aIndex))
    , mHome(aOptions.mEntries[aIndex % aOptions.mEntries.size()])
    , mHistory(aHistory)
    , mHttp(aContext.get_executor())
    , mRandom(HashPair(aOptions.mSeed, aIndex))
  {
  }

  asio::awaitable<void> Run()
  {
    std::exponential_distribution<double> gap(
      mOptions.mPerSecond / static_cast<double>(mOptions.mCallers));
    while (Clock::now() < mOptions.mEnd) {
      asio::steady_timer timer(
        mContext, std::chrono::microseconds(static_cast<std::int64_t>(
                    gap(mRandom) * kMicrosPerSecond)));
      co_await timer.async_wait(asio::use_awaitable);
      asio::co_spawn(mContext, Call(PickKind()), asio::detached);
    }
  }

  /// Sends a request that crashes targets, again and again, to any entry.
  asio::awaitable<void> SendCrasher()
  {
    while (Clock::now() < mOptions.mEnd) {
      asio::steady_timer timer(mContext, kCrasherGap);
      co_await timer.async_wait(asio::use_awaitable);
      const auto& entry =
        mOptions.mEntries[mRandom() % mOptions.mEntries.size()];
      asio::co_spawn(mContext,
                     Send(kCrashing, entry,
                          kCrasherName + std::to_string(++mCalls), 1, "1",
                          Clock::now() + kCrashing.mLimit),
                     asio::detached);
    }
  }

private:
  Kind PickKind()
  {
    constexpr Kind kKinds[] = { kReads, kConfirmations, kUploads, kSplit };
    std::discrete_distribution<std::size_t> part({ 0.45, 0.2, 0.1, 0.25 });
    return kKinds[part(mRandom)];
  }

  /// Asks up to three entries where to connect; keeps an old answer where
  /// none says.
  asio::awaitable<void> Refresh()
  {
    if (Clock::now() < mFreshUntil) {
      co_return;
    }
    for (int n = 0; n < 3; ++n) {
      const auto& asked =
        n == 0 ? mHome
               : mOptions.mEntries[mRandom() % mOptions.mEntries.size()];
      HttpRequest request;
      request.mTarget = std::string("/resolve?name=") + kSoakHost +
                        "&region=" + mHome.mRegion + "&zone=" + mHome.mZone;
      ExchangeOptions options;
      options.mDeadline = Clock::now() + kLookupTimeout;
      const auto result =
        co_await mHttp.Exchange(asked.mLookups, std::move(request), options);
      if (result.mResponse && TakeLookup(result.mResponse->mBody)) {
        mFreshUntil = Clock::now() + kLookupTtl;
        co_return;
      }
    }
  }

  bool TakeLookup(const std::string& aBody)
  {
    boost::json::error_code ec;
    const auto value = boost::json::parse(aBody, ec);
    if (ec || !value.is_object() ||
        !value.as_object().contains("edge_addresses")) {
      return false;
    }
    std::vector<std::size_t> found;
    for (const auto& it : value.at("edge_addresses").as_array()) {
      for (std::size_t n = 0; n < mOptions.mEntries.size(); ++n) {
        if (mOptions.mEntries[n].mFront.Text() == it.as_string().c_str()) {
          found.push_back(n);
        }
      }
    }
    if (found.empty()) {
      return false;
    }
    mUsable = std::move(found);
    return true;
  }

  asio::awaitable<void> Call(Kind aKind)
  {
    const auto deadline = Clock::now() + aKind.mLimit;
    co_await Refresh();
    if (mUsable.empty()) {
      co_return;
    }
    const auto object = std::to_string(mRandom() % kObjects);
    const auto number = std::to_string(++mCalls);
    const bool keepsId = mRandom() % 3 != 0;
    const int most = keepsId ? kMaxKeptAttempts : kMaxAttempts;
    std::string id;
    std::size_t entry = 0;
    for (int n = 1; n <= most && Clock::now() < deadline; ++n) {
      if (id.empty()) {
        id = mName + "-" + number + "-" + std::to_string(n);
        entry = mUsable[mRandom() % mUsable.size()];
      }
      const auto result =
        co_await Send(aKind, mOptions.mEntries[entry], id, n, object, deadline);
      const bool refused =
        result.mResponse && IsPromise(result.mResponse->mStatus);
      const bool failed = !result.mResponse || result.mResponse->mStatus >= 500;
      const bool once =
        aKind.mPath == kConfirmations.mPath || aKind.mPath == kUploads.mPath;
      if (!refused && (once || !failed || n >= kMaxAttempts)) {
        break;
      }
      if (refused && keepsId) {
        asio::steady_timer timer(
          mContext, Millis(static_cast<Millis::rep>(mRandom() % kMaxPauseMs)));
        co_await timer.async_wait(asio::use_awaitable);
      } else {
        id.clear();
      }
    }
  }

  asio::awaitable<ExchangeResult> Send(Kind aKind, SoakEntry aEntry,
                                       std::string aId, int aAttempt,
                                       std::string aObject, TimePoint aDeadline)
  {
    HttpRequest request;
    request.mMethod = aKind.mMethod;
    request.mTarget = aKind.mPath + aObject;
    if (aKind.mBytes > 0) {
      request.mBody = aId + std::string(aKind.mBytes, 'x');
    }
    Event event;
    event.mKind = EventKind::CallSent;
    const auto attempt = std::to_string(aAttempt);
    event.mIdentity = AttemptIdentity(aId, attempt);
    event.mClass = aKind.mMethod;
    event.mPlace = aEntry.mName;
    event.mDigest = HexId(Hash(request.mBody));
    mHistory.Add(event);
    const auto left =
      std::chrono::duration_cast<Millis>(aDeadline - Clock::now());
    request.mHeaders = { { "Host", kSoakHost },
                         { "X-Request-Id", aId },
                         { "X-Deadline-Ms", std::to_string(left.count()) },
                         { "Cookie", "X-Affinity-Key=" + aObject },
                         { kEntryHeader, aEntry.mName },
                         { kSoakAttemptHeader, attempt } };
    ExchangeOptions options;
    options.mDeadline = aDeadline;
    options.mReuseWithin = kKeep;
    auto result =
      co_await mHttp.Exchange(aEntry.mProxy, std::move(request), options);
    NoteResult(event, result);
    co_return result;
  }

  void NoteResult(Event aEvent, const ExchangeResult& aResult)
  {
    const auto asked = aEvent.mDigest;
    aEvent.mDigest.clear();
    if (!aResult.mResponse) {
      aEvent.mKind = EventKind::CallFailed;
      aEvent.mOutcome = (aResult.mTimedOut ? "timeout: " : "") +
                        aResult.mError.mStep + ": " + aResult.mError.mReason;
      mHistory.Add(std::move(aEvent));
      return;
    }
    const auto& response = *aResult.mResponse;
    const bool served = response.mStatus >= 200 && response.mStatus < 300;
    aEvent.mKind = EventKind::CallAnswered;
    aEvent.mStatus = response.mStatus;
    aEvent.mRan = served                        ? "yes"
                  : IsPromise(response.mStatus) ? "no"
                                                : "unknown";
    // A target's whole body names the request and its own body.
    const auto whole = aEvent.mIdentity + " " + asked + " whole";
    const bool own = response.mBody == whole &&
                     !FindHeader(response.mHeaders, "X-Server-Seal").empty();
    aEvent.mDigest = own ? asked : "another answer";
    const bool refused = aEvent.mRan == "no";
    mHistory.Add(aEvent);
    if (refused) {
      aEvent.mKind = EventKind::CallEnded;
      aEvent.mOutcome = "not_run";
      mHistory.Add(std::move(aEvent));
    }
  }

  asio::io_context& mContext;
  const SoakCallersOptions& mOptions;
  std::string mName;
  const SoakEntry& mHome;
  History& mHistory;
  detail::HttpClient mHttp;
  std::mt19937_64 mRandom;
  std::vector<std::size_t> mUsable;
  TimePoint mFreshUntil{};
  std::uint64_t mCalls = 0;
};

} // namespace

void RunSoakCallers(const SoakCallersOptions& aOptions, History& aHistory)
{
  asio::io_context context(1);
  std::vector<std::unique_ptr<SoakCaller>> callers;
  for (std::size_t n = 0; n < aOptions.mCallers; ++n) {
    callers.push_back(
      std::make_unique<SoakCaller>(context, aOptions, n, aHistory));
    asio::co_spawn(context, callers.back()->Run(), asio::detached);
  }
  SoakCaller crasher(context, aOptions, aOptions.mCallers, aHistory);
  asio::co_spawn(context, crasher.SendCrasher(), asio::detached);
  context.run();
}

} // namespace guavaline::testing
