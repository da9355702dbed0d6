#include "callers/caller.hpp"

#include "forwarding/exchange.hpp"
#include "forwarding/forward.hpp"

#include <algorithm>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

constexpr Millis kLookupTimeout{ 1'000 };
constexpr std::uint32_t kMaxAttempts = 4;
/// Kept connections to entries may be this old.
constexpr Millis kReuse{ 10'000 };

CallOutcome OutcomeOf(const ExchangeResult& aResult)
{
  if (!aResult.mResponse) {
    return aResult.mMayHaveReached ? CallOutcome::Unknown : CallOutcome::NotRun;
  }
  const auto ran = FindHeader(aResult.mResponse->mHeaders, kRanHeader);
  if (ran == "yes") {
    return CallOutcome::Answered;
  }
  return ran == "no" ? CallOutcome::NotRun : CallOutcome::Unknown;
}

bool IsFinal(const ExchangeResult& aResult)
{
  if (!aResult.mResponse) {
    return false;
  }
  const auto status = aResult.mResponse->mStatus;
  return status >= 400 && status < 500 && status != 428;
}

} // namespace

Caller::Caller(HttpClient& aHttp, std::vector<Endpoint> aBootstrap,
               std::string aPlace, std::string aName)
  : mHttp(aHttp)
  , mBootstrap(std::move(aBootstrap))
  , mPlace(std::move(aPlace))
  , mName(std::move(aName))
{
}

asio::awaitable<bool> Caller::Ask(Endpoint aEntry, std::string aService,
                                  HttpRequest aRequest, TimePoint aDeadline)
{
  ExchangeOptions options;
  options.mDeadline = std::min(aDeadline, Clock::now() + kLookupTimeout);
  options.mReuseWithin = kReuse;
  const auto result =
    co_await mHttp.Exchange(aEntry, std::move(aRequest), options);
  CachedLookup lookup;
  if (!result.mResponse || result.mResponse->mStatus != 200 ||
      !FromJson(result.mResponse->mBody, lookup.mAnswer).empty() ||
      lookup.mAnswer.mEntries.empty()) {
    co_return false;
  }
  lookup.mFresh = Clock::now() + Millis(lookup.mAnswer.mTtlMs);
  mLookups[aService] = std::move(lookup);
  co_return true;
}

asio::awaitable<bool> Caller::Refresh(std::string aService, TimePoint aDeadline)
{
  const auto it = mLookups.find(aService);
  if (it != mLookups.end() && Clock::now() < it->second.mFresh) {
    co_return true;
  }
  HttpRequest request;
  request.mTarget = "/v1/lookup?service=" + EncodeParameter(aService) +
                    "&place=" + EncodeParameter(mPlace) +
                    "&caller=" + EncodeParameter(mName);
  std::vector<Endpoint> known;
  if (it != mLookups.end()) {
    for (const auto& entry : it->second.mAnswer.mEntries) {
      known.push_back(*ParseEndpoint(entry.mAddress));
    }
  }
  for (std::size_t n = 0; n < mBootstrap.size(); ++n) {
    known.push_back(mBootstrap[(mNextBootstrap + n) % mBootstrap.size()]);
  }
  ++mNextBootstrap;
  for (const auto& endpoint : known) {
    if (co_await Ask(endpoint, aService, request, aDeadline)) {
      // Identities are cheapest at the entry that issued them, so the answer
      // is taken from the entry that will be used.
      const auto first =
        *ParseEndpoint(mLookups[aService].mAnswer.mEntries.front().mAddress);
      if (!(first == endpoint)) {
        co_await Ask(first, aService, request, aDeadline);
      }
      co_return true;
    }
    if (Clock::now() >= aDeadline) {
      break;
    }
  }
  // An old answer is better than none.
  co_return mLookups.count(aService) > 0;
}

std::string Caller::NewIdentity(const CachedLookup& aLookup)
{
  return aLookup.mAnswer.mIdentityPrefix + mName + "-" +
         std::to_string(++mNext);
}

asio::awaitable<CallResult> Caller::Send(ServiceCall aCall,
                                         const CallObserver& aObserver)
{
  CallResult out;
  const auto deadline = Clock::now() + aCall.mTimeout;
  if (!co_await Refresh(aCall.mService, deadline)) {
    co_return out;
  }
  const auto lookup = mLookups[aCall.mService];
  out.mIdentity = NewIdentity(lookup);
  std::vector<Endpoint> entries;
  for (const auto& it : lookup.mAnswer.mEntries) {
    entries.push_back(*ParseEndpoint(it.mAddress));
  }
  bool mayHaveRun = false;
  for (std::uint32_t n = 0; n < kMaxAttempts; ++n) {
    const auto& entry = entries[n % entries.size()];
    const auto left =
      std::chrono::duration_cast<Millis>(deadline - Clock::now());
    if (left.count() <= 0) {
      break;
    }
    HttpRequest request;
    request.mMethod = aCall.mMethod;
    request.mTarget =
      std::string(kServicePrefix) + aCall.mService + aCall.mPath;
    request.mBody = aCall.mBody;
    request.mHeaders = { { kPlaceHeader, mPlace },
                         { kIdentityHeader, out.mIdentity },
                         { kAttemptHeader, std::to_string(n + 1) },
                         { kTimeoutHeader, MillisText(left) } };
    ExchangeOptions options;
    options.mDeadline = deadline;
    options.mReuseWithin = kReuse;
    aObserver.mSent(out.mIdentity, entry.Text());
    const auto result =
      co_await mHttp.Exchange(entry, std::move(request), options);
    aObserver.mReturned(out.mIdentity, entry.Text(), result);
    ++out.mAttempts;
    if (result.mResponse) {
      out.mResponse = *result.mResponse;
    }
    const auto outcome = OutcomeOf(result);
    if (outcome == CallOutcome::Answered) {
      out.mOutcome = outcome;
      co_return out;
    }
    mayHaveRun = mayHaveRun || outcome == CallOutcome::Unknown;
    if (IsFinal(result)) {
      break;
    }
  }
  out.mOutcome = mayHaveRun ? CallOutcome::Unknown : CallOutcome::NotRun;
  co_return out;
}

} // namespace guavaline::detail
