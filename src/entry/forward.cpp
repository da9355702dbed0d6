/// The path of a caller's request: route, targets, answer.

#include "entry/account_limits.hpp"
#include "entry/accounts.hpp"
#include "entry/contention.hpp"
#include "entry/request_state.hpp"

#include <guavaline/admission/planned_stop.hpp>
#include <guavaline/core/hash.hpp>
#include <guavaline/core/units.hpp>

#include <algorithm>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

/// Status of requests above an account's limit.
constexpr unsigned kTooMany = 429;
/// Most sends of one attempt, counting those that the target refused.
constexpr std::uint32_t kMaxSends = 3;
/// Parts of the shared bounds on retries that are used; the windows in which
/// they are counted slide.
constexpr double kRetryRatioPart = 0.85;
constexpr double kRetrySlackPart = 0.7;
constexpr Millis kRetryAfterUnready{ 500 };
/// A caller with less than these twentieths of the full limit left returns.
constexpr int kFreshPart = 19;
constexpr int kWhole = 20;
constexpr int kLimitFade = 1'000;

RetryBudget& RetriesOf(Entry& aEntry, const std::string& aService)
{
  const auto [it, added] = aEntry.mRetries.try_emplace(aService);
  if (added) {
    SetRetryBounds(aEntry, it->second);
    it->second.mTokens = it->second.mMost;
  }
  return it->second;
}

/// True where changes of targets and evacuations may have been missed.
bool IsUnseen(Entry& aEntry, TimePoint aNow)
{
  const auto& targets = aEntry.mFollows[ObjectKind::Targets].mView;
  const auto& evacuations = aEntry.mFollows[ObjectKind::Evacuations].mView;
  return MayHaveMissed(std::min(targets.mConfirmed, evacuations.mConfirmed),
                       aEntry.mViewsOld, aNow);
}

ColdBound ColdBoundOf(const Entry& aEntry, const std::string& aService)
{
  const auto& bounds = aEntry.mSettings.mBounds;
  const auto it = aEntry.mRouting.mServices.find(aService);
  const double rate =
    it == aEntry.mRouting.mServices.end() ? 0 : it->second.mColdRate;
  return { rate, bounds.mColdOver, bounds.mColdSlack };
}

const RunTimes& RunTimesOf(const Entry& aEntry, const RequestState& aState)
{
  static const RunTimes kNone;
  const auto route = aEntry.mRoutes.find(aState.mRoute.mName);
  if (route == aEntry.mRoutes.end()) {
    return kNone;
  }
  const auto it = route->second.mRunTimes.find(aState.mService);
  return it == route->second.mRunTimes.end() ? kNone : it->second;
}

} // namespace

void Choose(Entry& aEntry, RequestState& aState, TimePoint aNow)
{
  const PlacementView view{
    aEntry.mRegistry,
    aEntry.mTrips,
    aEntry.mWarm,
    RunTimesOf(aEntry, aState),
    ColdBoundOf(aEntry, aState.mService),
    SharingEntries(aEntry.mRoster),
    CountSending(aEntry.mRoster, aNow),
    IsUnseen(aEntry, aNow),
    ShiftBoundOf(aEntry.mRegionShare,
                 std::max(aEntry.mDisturbed, aEntry.mRegistry.mChanged), aNow),
    IsContended(aEntry, aState.mService),
    aEntry.mLoads.mHeard
  };
  const PlacementRequest request{ aState.mRoute,
                                  aState.mService,
                                  aState.mKey,
                                  aState.mDeadline,
                                  aState.mTried,
                                  aState.mReturning,
                                  view.mContended ? aEntry.mRandom() : 0 };
  aState.mChoice = ChooseOwner(view, request, aNow);
}

const char* NameOf(PlacementRefusal aRefusal) noexcept
{
  switch (aRefusal) {
    case PlacementRefusal::NoTarget:
      return "no_target";
    case PlacementRefusal::Full:
      return "full";
    case PlacementRefusal::Limited:
      return "limited";
    case PlacementRefusal::Paused:
      return "paused";
    case PlacementRefusal::Bound:
      return "shift_bound";
    case PlacementRefusal::TooLate:
      return "too_late";
    case PlacementRefusal::None:
      break;
  }
  return "";
}

namespace {

/// The last answer of a request whose sends all failed.
struct LastWord
{
  HttpResponse mResponse;
  const char* mReason = "";
};

LastWord GiveUp(Entry& aEntry, const RequestState& aState, SendOutcome aLast,
                TimePoint aNow)
{
  if (aLast.mAnswer) {
    return { std::move(*aLast.mAnswer), aLast.mWhat };
  }
  if (aState.mRuns == 0) {
    const auto after = std::max(aState.mChoice.mClearsIn, Millis(100));
    return { Reject(aEntry, aState, after, aLast.mWhat), aLast.mWhat };
  }
  if (aNow >= aState.mDeadline) {
    return { Fail(aEntry, aState, 504, "no answer in time"), "timeout" };
  }
  return { Fail(aEntry, aState, 502, "target gave no usable answer"),
           aLast.mWhat };
}

bool MayRetry(Entry& aEntry, const RequestState& aState,
              const SendOutcome& aLast, TimePoint aNow)
{
  if (!aLast.mWorthRetry || aNow >= aState.mDeadline ||
      aState.mSends >= kMaxSends) {
    return false;
  }
  if (!aLast.mNotRun && (aState.mRoute.mKind != RequestKind::Idempotent ||
                         aState.mRuns >= aState.mRoute.mMaxTargets)) {
    return false;
  }
  return !CrashesTargets(aEntry.mCrashTable, aState.mDigest, aNow);
}

asio::awaitable<LastWord> SendToTargets(Entry& aEntry, RequestState& aState)
{
  NoteRequest(RetriesOf(aEntry, aState.mService));
  SendOutcome last;
  while (true) {
    const auto now = Clock::now();
    Choose(aEntry, aState, now);
    const auto refusal = aState.mChoice.mRefusal;
    if (refusal == PlacementRefusal::Bound) {
      NoteRefused(aEntry.mRegionShare, aState.mChoice.mPrefersFar, now);
    }
    if (refusal != PlacementRefusal::None) {
      if (aState.mSends > 0) {
        co_return GiveUp(aEntry, aState, std::move(last), now);
      }
      LastWord out{ Reject(aEntry, aState, aState.mChoice.mClearsIn,
                           NameOf(refusal)),
                    NameOf(refusal) };
      co_return out;
    }
    if (aState.mSends > 0 && !TakeRetry(RetriesOf(aEntry, aState.mService))) {
      co_return GiveUp(aEntry, aState, std::move(last), now);
    }
    last = co_await SendOnce(aEntry, aState);
    if (last.mAnswer && !last.mWorthRetry) {
      LastWord out{ std::move(*last.mAnswer), last.mWhat };
      co_return out;
    }
    aState.mTried.insert(aState.mChoice.mTarget->mRegistration.mId);
    if (!MayRetry(aEntry, aState, last, Clock::now())) {
      co_return GiveUp(aEntry, aState, std::move(last), Clock::now());
    }
  }
}

Millis TimeLeft(const HeaderNames& aNames, const HttpRequest& aRequest)
{
  return ParseMillis(FindHeader(aRequest.mHeaders, aNames.mTimeLeft))
    .value_or(kDefaultLimit);
}

/// Callers of a route start with one time limit; one that has used some of it
/// was refused before. Limits that are no longer seen fade.
bool IsReturning(Entry& aEntry, const Route& aRoute, Millis aLimit)
{
  auto& full = aEntry.mRoutes[aRoute.mName].mFullLimit;
  full = std::max(aLimit, full - full / kLimitFade);
  return aLimit * kWhole < full * kFreshPart;
}

bool IsRefusedForStop(const Entry& aEntry, Millis aLimit, TimePoint aNow)
{
  return aEntry.mStopping &&
         !TakesWhileStopping(
           std::chrono::duration_cast<Millis>(aNow - *aEntry.mStopping),
           aEntry.mSettings.mBounds.mStopTime, aLimit);
}

/// One entry alone tries refused requests, so that few of them reach targets.
bool MayTry(Entry& aEntry, std::uint64_t aDigest, TimePoint aNow)
{
  return !IsIsolated(aEntry.mRoster, aNow) &&
         TurnOf(aEntry.mRoster, aDigest) == 0 &&
         TakeTrial(aEntry.mCrashTable, aDigest, aNow);
}

std::string_view HostOf(const HttpRequest& aRequest)
{
  const auto host = FindHeader(aRequest.mHeaders, "Host");
  return host.substr(0, host.find(':'));
}

void SetKeys(Entry& aEntry, RequestState& aState)
{
  const auto object = aEntry.mPlatform.mObjectOf(aState.mRequest);
  aState.mKey = object.empty() ? aEntry.mRandom()
                               : Hash(object, Hash(aState.mRoute.mPathPrefix));
  aState.mDigest = DigestOf(aEntry, aState.mRequest);
}

} // namespace

std::uint64_t DigestOf(const Entry& aEntry, const HttpRequest& aRequest)
{
  const auto object = aEntry.mPlatform.mObjectOf(aRequest);
  return HashPair(Hash(aRequest.mMethod + " " + aRequest.mTarget, 1),
                  HashPair(Hash(object), Hash(aRequest.mBody)));
}

void SetRetryBounds(const Entry& aEntry, RetryBudget& aBudget)
{
  const auto& bounds = aEntry.mSettings.mBounds;
  aBudget.mPerRequest = bounds.mRetryRatio * kRetryRatioPart;
  aBudget.mMost = bounds.mRetrySlack * kRetrySlackPart /
                  static_cast<double>(SharingEntries(aEntry.mRoster));
  aBudget.mTokens = std::min(aBudget.mTokens, aBudget.mMost);
}

asio::awaitable<HttpResponse> ForwardRequest(Entry& aEntry,
                                             HttpRequest aRequest)
{
  RequestState state;
  const auto now = Clock::now();
  ++aEntry.mTaken;
  state.mArrived = aRequest.mArrived;
  state.mId =
    FindHeader(aRequest.mHeaders, aEntry.mPlatform.mHeaders.mRequestId);
  state.mVersion = aEntry.mRouting.mVersion;
  state.mRequest = std::move(aRequest);
  const auto finish = [&](HttpResponse aResponse, const char* aReason) {
    NoteEnd(aEntry, state, aResponse.mStatus, aReason, Clock::now());
    return aResponse;
  };
  if (!IsReady(aEntry)) {
    co_return finish(Reject(aEntry, state, kRetryAfterUnready, "not_ready"),
                     "not_ready");
  }
  const auto* route = MatchRoute(aEntry.mRouting, HostOf(state.mRequest),
                                 PathOf(state.mRequest.mTarget));
  if (route == nullptr) {
    co_return finish(Fail(aEntry, state, 404, "no such route"), "no_route");
  }
  state.mRoute = *route;
  auto limit = TimeLeft(aEntry.mPlatform.mHeaders, state.mRequest);
  state.mDeadline = state.mArrived + limit;
  if (auto refused = CheckAccount(aEntry, state, now)) {
    co_return finish(std::move(refused->mResponse), refused->mReason);
  }
  // After the check of the account: callers without a key must not affect the
  // estimate of the time limit that a route's callers start with.
  state.mReturning = IsReturning(aEntry, *route, limit);
  if (route->mTimeout.count() > 0) {
    limit = std::min(limit, route->mTimeout);
  }
  state.mDeadline = state.mArrived + limit;
  if (IsRefusedForStop(aEntry, limit, now)) {
    co_return finish(Reject(aEntry, state, Millis(0), "stopping"), "stopping");
  }
  SetKeys(aEntry, state);
  if (CrashesTargets(aEntry.mCrashTable, state.mDigest, now) &&
      !MayTry(aEntry, state.mDigest, now)) {
    co_return finish(Reject(aEntry, state,
                            RefusedFor(aEntry.mCrashTable, state.mDigest, now),
                            "crashes"),
                     "crashes_targets");
  }
  if (!state.mAccount.empty()) {
    if (const auto wait = RefusedByAccountLimit(aEntry, state.mAccount, now)) {
      auto refusal = Reject(aEntry, state, *wait, "account_limit");
      refusal.mStatus = kTooMany;
      co_return finish(std::move(refusal), "account_limit");
    }
  }
  state.mService = PickService(
    state.mRoute, state.mKey, aEntry.mRoutes[state.mRoute.mName].mSplit,
    SharingEntries(aEntry.mRoster), aEntry.mRandom());
  NotePicked(aEntry, state);
  auto last = co_await SendToTargets(aEntry, state);
  GiveBackUnrun(aEntry, state, Clock::now());
  co_return finish(std::move(last.mResponse), last.mReason);
}

} // namespace guavaline::detail
