/// The path of a caller's request: route, target, exchange, answer.

#include "entry/entry.hpp"

#include <guavaline/core/hash.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

/// Time to open a connection to a target: several round trips between
/// regions.
constexpr Millis kConnectTimeout{ 700 };
/// Time without acknowledgement after which a target's host is taken as gone.
constexpr Millis kUnacknowledged{ 1'500 };
/// Kept connections are used for non-idempotent requests only this long: one
/// that the target has dropped unseen would leave the outcome unknown.
constexpr Millis kReuseOnce{ 4'000 };
constexpr Millis kReuseIdempotent{ 9'000 };
/// Where a caller names no time limit.
constexpr Millis kDefaultLimit{ 10'000 };
/// Most sends of one attempt, counting those that the target refused.
constexpr std::uint32_t kMostSends = 3;
/// Parts of the shared bounds on retries that are used; the windows in which
/// they are counted slide.
constexpr double kRetryRatioPart = 0.85;
constexpr double kRetrySlackPart = 0.7;
constexpr Millis kRetryAfterUnready{ 500 };
/// A target that takes no connections this soon after it broke one crashed.
constexpr Millis kCrashSeen{ 3'000 };
/// A caller with less than these twentieths of the full limit left returns.
constexpr int kFreshPart = 19;
constexpr int kWhole = 20;
constexpr int kLimitFade = 1'000;
/// Age of the views above which any target may have become cold unseen;
/// longer than evacuations are watched apart.
constexpr Millis kUnseenAge{ 4'500 };
constexpr double kMsPerSecond = 1'000;
/// Part of the stop time in which new requests are still taken.
constexpr int kStopPart = 2;

/// Counts a request in flight at a target while it lives.
class FlightCount
{
public:
  explicit FlightCount(TargetPtr aTarget)
    : mTarget(std::move(aTarget))
  {
    ++mTarget->mLoad.mOwn;
  }
  ~FlightCount() { --mTarget->mLoad.mOwn; }
  FlightCount(const FlightCount&) = delete;
  FlightCount& operator=(const FlightCount&) = delete;
  FlightCount(FlightCount&&) = delete;
  FlightCount& operator=(FlightCount&&) = delete;

private:
  TargetPtr mTarget;
};

/// One caller's request on its way.
struct Passage
{
  HttpRequest mRequest;
  Route mRoute; ///< As it stood when the request came.
  std::string mService;
  std::string mId;
  std::uint64_t mKey = 0;
  std::uint64_t mDigest = 0;
  TimePoint mArrived;
  TimePoint mDeadline;
  bool mReturning = false;
  std::uint64_t mVersion = 0;   ///< Of the configuration.
  std::set<std::string> mTried; ///< Targets that failed it or refused it.
  std::uint32_t mRuns = 0;      ///< Targets that may have run it.
  std::uint32_t mSends = 0;     ///< Exchanges, those refused included.
  PlacementChoice mChoice;      ///< The last one.
};

/// What one send came to.
struct SendOutcome
{
  std::optional<HttpResponse> mAnswer; ///< For the caller, if it is the last.
  bool mNotRun = false;     ///< The target says so, or was never reached.
  bool mWorthRetry = false; ///< Another target may do better.
  const char* mWhat = "answered";
};

std::string Text(Millis aTime)
{
  return std::to_string(aTime.count());
}

HttpResponse Reject(Entry& aEntry, const Passage& aPassage, Millis aRetryAfter,
                    const char* aReason)
{
  HttpResponse out;
  out.mStatus = 503;
  std::array<char, 16> buf{};
  std::snprintf(buf.data(), buf.size(), "%.3f",
                static_cast<double>(aRetryAfter.count()) / kMsPerSecond);
  out.mHeaders = { { "Retry-After", buf.data() },
                   { "Content-Type", "text/plain" },
                   { aEntry.mPlatform.mHeaders.mRequestId, aPassage.mId } };
  out.mBody = std::string("not run: ") + aReason + "\n";
  return out;
}

HttpResponse Fail(Entry& aEntry, const Passage& aPassage, unsigned aStatus,
                  const char* aReason)
{
  HttpResponse out;
  out.mStatus = aStatus;
  out.mHeaders = { { "Content-Type", "text/plain" },
                   { aEntry.mPlatform.mHeaders.mRequestId, aPassage.mId } };
  out.mBody = std::string(aReason) + "\n";
  return out;
}

/// One line for each request that ends, and its share of the metrics.
void NoteEnd(Entry& aEntry, const Passage& aPassage, unsigned aStatus,
             const char* aReason, TimePoint aNow)
{
  const auto took = aNow - aPassage.mArrived;
  aEntry.mMetrics.NoteLatency(
    aPassage.mService, aPassage.mRoute.mName,
    std::chrono::duration_cast<std::chrono::microseconds>(took));
  aEntry.mMetrics.Count("requests", "route=\"" + aPassage.mRoute.mName +
                                      "\",reason=\"" + aReason + "\"");
  const bool good = aStatus < 400;
  const auto& choice = aPassage.mChoice;
  const std::string target =
    choice.mTarget ? choice.mTarget->mRegistration.mId : "";
  LogBounded(good ? LogClass::Routine : LogClass::Failure, LogLevel::Info,
             "request_ended",
             { { "request", aPassage.mId },
               { "route", aPassage.mRoute.mName },
               { "service", aPassage.mService },
               { "status", std::to_string(aStatus) },
               { "reason", aReason },
               { "object", HexId(aPassage.mKey) },
               { "target", target },
               { "sends", std::to_string(aPassage.mSends) },
               { "returning", aPassage.mReturning ? "yes" : "no" },
               { "warmth", std::to_string(static_cast<int>(choice.mWarmth)) },
               { "wait_ms", Text(choice.mWait) },
               { "run_ms", Text(choice.mRun) },
               { "took_ms", Text(std::chrono::duration_cast<Millis>(took)) },
               { "left_ms", Text(std::chrono::duration_cast<Millis>(
                              aPassage.mDeadline - aNow)) },
               { "configuration", std::to_string(aPassage.mVersion) } });
}

bool IsForwarded(const HeaderNames& aNames, const Header& aHeader)
{
  return !IsHopByHop(aHeader.mName) && !SameName(aHeader.mName, "Expect") &&
         !SameName(aHeader.mName, aNames.mTimeLeft) &&
         !SameName(aHeader.mName, aNames.mTargetId);
}

HttpRequest ForTarget(const Entry& aEntry, const Passage& aPassage,
                      const LiveTarget& aTarget, TimePoint aNow)
{
  const auto& names = aEntry.mPlatform.mHeaders;
  HttpRequest out;
  out.mMethod = aPassage.mRequest.mMethod;
  out.mTarget = aPassage.mRequest.mTarget;
  out.mBody = aPassage.mRequest.mBody;
  for (const auto& it : aPassage.mRequest.mHeaders) {
    if (IsForwarded(names, it)) {
      out.mHeaders.push_back(it);
    }
  }
  const auto left =
    std::chrono::duration_cast<Millis>(aPassage.mDeadline - aNow);
  out.mHeaders.push_back({ names.mTimeLeft, Text(left) });
  out.mHeaders.push_back({ names.mTargetId, aTarget.mRegistration.mId });
  return out;
}

HttpResponse ForCaller(HttpResponse aResponse)
{
  std::erase_if(aResponse.mHeaders,
                [](const Header& a) { return IsHopByHop(a.mName); });
  return aResponse;
}

ExchangeOptions OptionsFor(const Entry& aEntry, const Passage& aPassage)
{
  ExchangeOptions out;
  out.mDeadline = aPassage.mDeadline;
  out.mConnectTimeout = kConnectTimeout;
  out.mUnacknowledged = kUnacknowledged;
  out.mReuseWithin = aPassage.mRoute.mKind == RequestKind::Idempotent
                       ? kReuseIdempotent
                       : kReuseOnce;
  out.mAnswerIdName = aEntry.mPlatform.mHeaders.mRequestId;
  out.mAnswerId = aPassage.mId;
  out.mUnframedBody = true;
  return out;
}

/// Learns from an answer.
void LearnAnswer(Entry& aEntry, const Passage& aPassage, LiveTarget& aTarget,
                 const HttpResponse& aAnswer, Millis aTook, TimePoint aNow)
{
  const auto& choice = aPassage.mChoice;
  const auto load = aEntry.mPlatform.mReadLoad(
    FindHeader(aAnswer.mHeaders, aEntry.mPlatform.mHeaders.mLoad));
  if (load) {
    // The own request is still counted in flight here.
    NoteReport(aTarget.mLoad, *load, aTarget.mLoad.mOwn - 1, aNow);
  }
  if (aAnswer.mStatus >= 500) {
    NoteFailed(aTarget.mLoad, aNow);
    return;
  }
  const auto inTarget = std::max(Millis(1), aTook - choice.mRoundTrip);
  if (choice.mWait == Millis(0) && Slowness(aTarget.mLoad, aNow) < 1.5) {
    NoteRun(aEntry.mRunTimes[aPassage.mRoute.mName], choice.mWarmth, inTarget);
  }
  NoteAnswer(aTarget.mLoad, inTarget, choice.mWait + choice.mRun, aNow);
  NoteServed(aEntry.mWarm, WarmId(aPassage.mKey, aTarget.mLife), aNow);
  NoteServed(aEntry.mCrashers, aPassage.mDigest);
}

/// Tells a target that crashed from one whose answer was lost: the crashed one
/// takes no connections afterwards. The request that it ran last is suspect.
void NoteBreak(Entry& aEntry, const Passage& aPassage,
               const LiveTarget& aTarget, const ExchangeResult& aResult,
               TimePoint aStarted, TimePoint aNow)
{
  const auto& id = aTarget.mRegistration.mId;
  if (aResult.mMayHaveReached && !aResult.mTimedOut) {
    aEntry.mBroken[id] = { aPassage.mDigest, aStarted, aNow };
    return;
  }
  const auto it = aEntry.mBroken.find(id);
  if (!aResult.mConnectFailed || aResult.mTimedOut ||
      it == aEntry.mBroken.end()) {
    return;
  }
  const auto run = it->second;
  aEntry.mBroken.erase(it);
  if (aNow - run.mBroke < kCrashSeen) {
    NoteCrash(aEntry.mCrashers, run.mDigest, run.mStarted, run.mBroke);
    Log(LogLevel::Warning, "target_crashed",
        { { "target", id }, { "digest", HexId(run.mDigest) } });
  }
}

/// Learns from an exchange that brought no answer.
void LearnFailure(Entry& aEntry, const Passage& aPassage, LiveTarget& aTarget,
                  const ExchangeResult& aResult, TimePoint aStarted,
                  TimePoint aNow)
{
  if (aResult.mConnectFailed) {
    NoteUnreachable(aTarget.mLoad, aNow);
  } else if (!aResult.mTimedOut) {
    NoteFailed(aTarget.mLoad, aNow);
  }
  NoteBreak(aEntry, aPassage, aTarget, aResult, aStarted, aNow);
  LogBounded(LogClass::Failure, LogLevel::Warning, "exchange_failed",
             { { "request", aPassage.mId },
               { "target", aTarget.mRegistration.mId },
               { "step", aResult.mError.mStep },
               { "peer", aResult.mError.mPeer },
               { "error", aResult.mError.mReason },
               { "reused", aResult.mReused ? "yes" : "no" },
               { "may_have_run", aResult.mMayHaveReached ? "yes" : "no" } });
}

SendOutcome JudgeAnswer(const Entry& aEntry, Passage& aPassage,
                        LiveTarget& aTarget, HttpResponse aAnswer,
                        TimePoint aNow)
{
  SendOutcome out;
  const auto& names = aEntry.mPlatform.mHeaders;
  if (aAnswer.mStatus == aEntry.mPlatform.mWrongTargetStatus) {
    // The address belongs to another target by now.
    aTarget.mLeft = true;
    out.mNotRun = true;
    out.mWorthRetry = true;
    out.mWhat = "wrong_target";
    return out;
  }
  if (!FindHeader(aAnswer.mHeaders, names.mNotRun).empty()) {
    out.mNotRun = true;
    out.mWorthRetry = aAnswer.mStatus >= 421;
    out.mWhat = "target_refused";
    return out;
  }
  const bool failed = aAnswer.mStatus >= 500;
  out.mWorthRetry = failed && aNow < aPassage.mDeadline;
  out.mWhat = failed ? "target_failed" : "answered";
  ++aPassage.mRuns;
  out.mAnswer = ForCaller(std::move(aAnswer));
  return out;
}

asio::awaitable<SendOutcome> SendOnce(Entry& aEntry, Passage& aPassage)
{
  const auto target = aPassage.mChoice.mTarget;
  const auto endpoint = *ParseEndpoint(target->mRegistration.mAddress);
  const FlightCount count(target);
  const auto started = Clock::now();
  target->mLoad.mLastSend = started;
  NoteRegion(aEntry.mRegionShare, aPassage.mChoice.mWishFar,
             aPassage.mChoice.mFar, started);
  ++aPassage.mSends;
  auto request = ForTarget(aEntry, aPassage, *target, started);
  auto options = OptionsFor(aEntry, aPassage);
  auto result = co_await aEntry.mTargetClient.Exchange(
    endpoint, std::move(request), std::move(options));
  const auto now = Clock::now();
  if (result.mConnectTime) {
    NoteConnect(aEntry.mTrips, target->mRegistration.mFailureDomain,
                *result.mConnectTime);
  }
  SendOutcome out;
  if (result.mCancelled) {
    // The caller left, which says nothing of the target.
    out.mWhat = "caller_left";
    ++aPassage.mRuns;
    co_return out;
  }
  if (!result.mResponse) {
    LearnFailure(aEntry, aPassage, *target, result, started, now);
    out.mNotRun = !result.mMayHaveReached;
    out.mWorthRetry = true;
    out.mWhat = result.mTimedOut ? "timeout" : "connection_lost";
    aPassage.mRuns += out.mNotRun ? 0 : 1;
    co_return out;
  }
  auto took = std::chrono::duration_cast<Millis>(now - started);
  if (result.mConnectTime) {
    took -= std::chrono::duration_cast<Millis>(*result.mConnectTime);
  }
  LearnAnswer(aEntry, aPassage, *target, *result.mResponse, took, now);
  co_return JudgeAnswer(aEntry, aPassage, *target, std::move(*result.mResponse),
                        now);
}

RetryBudget& RetriesOf(Entry& aEntry, const std::string& aService)
{
  const auto [it, added] = aEntry.mRetries.try_emplace(aService);
  if (added) {
    const auto& bounds = aEntry.mSettings.mBounds;
    auto& budget = it->second;
    budget.mPerRequest = bounds.mRetryRatio * kRetryRatioPart;
    budget.mMost = bounds.mRetrySlack * kRetrySlackPart /
                   static_cast<double>(SharingEntries(aEntry.mRoster));
    budget.mTokens = budget.mMost;
  }
  return it->second;
}

/// True where the view of targets and evacuations is too old to rely on.
bool IsUnseen(const Entry& aEntry, TimePoint aNow)
{
  for (const auto kind : { ObjectKind::Targets, ObjectKind::Evacuations }) {
    const auto it = aEntry.mFollows.find(kind);
    if (it == aEntry.mFollows.end() ||
        aNow - it->second.mView.mConfirmed > kUnseenAge) {
      return true;
    }
  }
  return false;
}

ColdBound ColdBoundOf(const Entry& aEntry, const std::string& aService)
{
  const auto& bounds = aEntry.mSettings.mBounds;
  const auto it = aEntry.mRouting.mServices.find(aService);
  const double rate =
    it == aEntry.mRouting.mServices.end() ? 0 : it->second.mColdRate;
  return { rate, bounds.mColdOver, bounds.mColdSlack };
}

void Choose(Entry& aEntry, Passage& aPassage, TimePoint aNow)
{
  const PlacementView view{ aEntry.mRegistry,
                            aEntry.mTrips,
                            aEntry.mWarm,
                            aEntry.mRunTimes[aPassage.mRoute.mName],
                            ColdBoundOf(aEntry, aPassage.mService),
                            SharingEntries(aEntry.mRoster),
                            LiveInRegion(aEntry.mRoster, aNow).size(),
                            IsUnseen(aEntry, aNow),
                            LeewayOf(aEntry.mRegionShare) };
  const PlacementRequest request{ aPassage.mRoute, aPassage.mService,
                                  aPassage.mKey,   aPassage.mDeadline,
                                  aPassage.mTried, aPassage.mReturning };
  aPassage.mChoice = ChooseOwner(view, request, aNow);
}

const char* NameOf(PlacementRefusal aRefusal)
{
  switch (aRefusal) {
    case PlacementRefusal::NoTarget:
      return "no_target";
    case PlacementRefusal::Full:
      return "full";
    case PlacementRefusal::TooLate:
      return "too_late";
    case PlacementRefusal::None:
      break;
  }
  return "";
}

/// The last answer of a request whose sends all failed.
struct LastWord
{
  HttpResponse mResponse;
  const char* mReason = "";
};

LastWord GiveUp(Entry& aEntry, const Passage& aPassage, SendOutcome aLast,
                TimePoint aNow)
{
  if (aLast.mAnswer) {
    return { std::move(*aLast.mAnswer), aLast.mWhat };
  }
  if (aPassage.mRuns == 0) {
    const auto after = std::max(aPassage.mChoice.mClearsIn, Millis(100));
    return { Reject(aEntry, aPassage, after, aLast.mWhat), aLast.mWhat };
  }
  if (aNow >= aPassage.mDeadline) {
    return { Fail(aEntry, aPassage, 504, "no answer in time"), "timeout" };
  }
  return { Fail(aEntry, aPassage, 502, "target gave no whole answer"),
           aLast.mWhat };
}

bool MayRetry(Entry& aEntry, const Passage& aPassage, const SendOutcome& aLast,
              TimePoint aNow)
{
  if (!aLast.mWorthRetry || aNow >= aPassage.mDeadline ||
      aPassage.mSends >= kMostSends) {
    return false;
  }
  if (!aLast.mNotRun && (aPassage.mRoute.mKind != RequestKind::Idempotent ||
                         aPassage.mRuns >= aPassage.mRoute.mMostTargets)) {
    return false;
  }
  return !IsCrasher(aEntry.mCrashers, aPassage.mDigest, aNow);
}

asio::awaitable<LastWord> SendToTargets(Entry& aEntry, Passage& aPassage)
{
  NoteRequest(RetriesOf(aEntry, aPassage.mService));
  SendOutcome last;
  while (true) {
    const auto now = Clock::now();
    Choose(aEntry, aPassage, now);
    const auto refusal = aPassage.mChoice.mRefusal;
    if (refusal != PlacementRefusal::None) {
      if (aPassage.mSends > 0) {
        co_return GiveUp(aEntry, aPassage, std::move(last), now);
      }
      LastWord out{ Reject(aEntry, aPassage, aPassage.mChoice.mClearsIn,
                           NameOf(refusal)),
                    NameOf(refusal) };
      co_return out;
    }
    if (aPassage.mSends > 0 &&
        !TakeRetry(RetriesOf(aEntry, aPassage.mService))) {
      co_return GiveUp(aEntry, aPassage, std::move(last), now);
    }
    last = co_await SendOnce(aEntry, aPassage);
    if (last.mAnswer && !last.mWorthRetry) {
      LastWord out{ std::move(*last.mAnswer), last.mWhat };
      co_return out;
    }
    aPassage.mTried.insert(aPassage.mChoice.mTarget->mRegistration.mId);
    if (!MayRetry(aEntry, aPassage, last, Clock::now())) {
      co_return GiveUp(aEntry, aPassage, std::move(last), Clock::now());
    }
  }
}

Millis TimeLeft(const HeaderNames& aNames, const HttpRequest& aRequest)
{
  const auto text = FindHeader(aRequest.mHeaders, aNames.mTimeLeft);
  std::int64_t n = 0;
  const auto result =
    std::from_chars(text.data(), text.data() + text.size(), n);
  return result.ec == std::errc{} && n > 0 ? Millis(n) : kDefaultLimit;
}

/// Callers of a route start with one time limit; one that has used some of it
/// was refused before. Limits that are no longer seen fade.
bool IsReturning(Entry& aEntry, const Route& aRoute, Millis aLimit)
{
  auto& full = aEntry.mFullLimits[aRoute.mName];
  full = std::max(aLimit, full - full / kLimitFade);
  return aLimit * kWhole < full * kFreshPart;
}

std::string_view HostOf(const HttpRequest& aRequest)
{
  const auto host = FindHeader(aRequest.mHeaders, "Host");
  return host.substr(0, host.find(':'));
}

void SetKeys(Entry& aEntry, Passage& aPassage)
{
  const auto object = aEntry.mPlatform.mObjectOf(aPassage.mRequest);
  aPassage.mKey = object.empty()
                    ? aEntry.mRandom()
                    : Hash(object, Hash(aPassage.mRoute.mPathPrefix));
  aPassage.mDigest = HashPair(
    Hash(aPassage.mRequest.mMethod + " " + aPassage.mRequest.mTarget, 1),
    HashPair(Hash(object), Hash(aPassage.mRequest.mBody)));
}

} // namespace

asio::awaitable<HttpResponse> ForwardRequest(Entry& aEntry,
                                             HttpRequest aRequest)
{
  Passage passage;
  const auto now = Clock::now();
  passage.mArrived = aRequest.mArrived;
  passage.mId =
    FindHeader(aRequest.mHeaders, aEntry.mPlatform.mHeaders.mRequestId);
  passage.mVersion = aEntry.mRouting.mVersion;
  passage.mRequest = std::move(aRequest);
  const auto finish = [&](HttpResponse aResponse, const char* aReason) {
    NoteEnd(aEntry, passage, aResponse.mStatus, aReason, Clock::now());
    return aResponse;
  };
  if (!IsReady(aEntry)) {
    co_return finish(Reject(aEntry, passage, kRetryAfterUnready, "not_ready"),
                     "not_ready");
  }
  const auto* route = MatchRoute(aEntry.mRouting, HostOf(passage.mRequest),
                                 PathOf(passage.mRequest.mTarget));
  if (route == nullptr) {
    co_return finish(Fail(aEntry, passage, 404, "no such route"), "no_route");
  }
  passage.mRoute = *route;
  auto limit = TimeLeft(aEntry.mPlatform.mHeaders, passage.mRequest);
  passage.mReturning = IsReturning(aEntry, *route, limit);
  if (route->mTimeout.count() > 0) {
    limit = std::min(limit, route->mTimeout);
  }
  passage.mDeadline = passage.mArrived + limit;
  const auto& stopping = aEntry.mStopping;
  if (stopping &&
      now - *stopping > aEntry.mSettings.mBounds.mStopTime / kStopPart) {
    co_return finish(Reject(aEntry, passage, Millis(0), "stopping"),
                     "stopping");
  }
  SetKeys(aEntry, passage);
  if (IsCrasher(aEntry.mCrashers, passage.mDigest, now)) {
    co_return finish(Reject(aEntry, passage, kRetryAfterUnready, "crashes"),
                     "crashes_targets");
  }
  passage.mService = PickService(passage.mRoute, passage.mKey,
                                 aEntry.mSplits[passage.mRoute.mName]);
  auto last = co_await SendToTargets(aEntry, passage);
  co_return finish(std::move(last.mResponse), last.mReason);
}

} // namespace guavaline::detail
