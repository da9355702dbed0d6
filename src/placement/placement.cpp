#include <guavaline/placement/placement.hpp>

#include <guavaline/core/hash.hpp>
#include <guavaline/placement/peer_load.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace guavaline {
namespace {

/// Owners of an object in the entry's own region, and in all others.
constexpr std::size_t kNearOwners = 2;
constexpr std::size_t kFarOwners = 1;
/// Part of a target's slots that may be waiting besides those running, for
/// requests of the highest priority and for all others.
constexpr double kMaxWaitingFirst = 1.0;
constexpr double kMaxWaitingOther = 0.5;
/// Further part for requests whose callers were refused before: refusing them
/// again ends them.
constexpr double kMaxWaitingReturning = 0.35;
/// Penalty for a target all of whose exchanges fail.
constexpr double kFailingMs = 1'500;
constexpr Millis kMinClear{ 100 };
/// A cold target's rate, and the bound on it, are used up to this part.
constexpr double kColdPart = 0.8;
constexpr double kUnseenPart = 0.85;
constexpr double kMinColdRate = 0.1;
/// Targets of a failure domain that serves again may be cold before their
/// registrations say so.
constexpr Millis kReturnTime{ 3'000 };
constexpr double kMsPerSecond = 1'000;
/// Requests by which the estimate of a target's load may be off: about what
/// the other entries send it between two messages on loads.
constexpr double kUncertainRequests = 1;
/// Weight in a draw of a target without a free slot.
constexpr double kFullWeight = 0.25;

struct Candidate
{
  LiveTarget* mTarget = nullptr;
  std::uint64_t mScore = 0;
};

/// The highest scores of one group, best first.
template<std::size_t N>
struct Owners
{
  std::array<Candidate, N> mBest{};

  void Offer(Candidate aCandidate)
  {
    for (auto& it : mBest) {
      if (it.mTarget == nullptr || aCandidate.mScore > it.mScore) {
        std::swap(it, aCandidate);
      }
      if (aCandidate.mTarget == nullptr) {
        return;
      }
    }
  }
};

bool IsAllowed(const Route& aRoute, const std::string& aRegion)
{
  return aRoute.mRegions.empty() ||
         std::find(aRoute.mRegions.begin(), aRoute.mRegions.end(), aRegion) !=
           aRoute.mRegions.end();
}

/// @returns the time between requests of one entry of those that share a rate
Millis GapOf(double aRate, std::size_t aSharing) noexcept
{
  return Millis(
    static_cast<std::int64_t>(kMsPerSecond * static_cast<double>(aSharing) /
                              std::max(aRate, kMinColdRate)));
}

bool ReturnedLately(const TargetRegistry& aRegistry, const LiveTarget& aTarget,
                    TimePoint aNow)
{
  const auto it =
    aRegistry.mReturned.find(aTarget.mRegistration.mFailureDomain);
  return it != aRegistry.mReturned.end() && aNow - it->second < kReturnTime;
}

double WaitingPart(const PlacementRequest& aRequest) noexcept
{
  const double part =
    aRequest.mRoute.mPriority <= 1 ? kMaxWaitingFirst : kMaxWaitingOther;
  return aRequest.mReturning ? part + kMaxWaitingReturning : part;
}

/// The expected course of a request at one target.
struct Forecast
{
  PlacementChoice mChoice;
  double mAhead = 0; ///< Requests that would wait before it.
  double mMaxAhead = 0;
  double mCostMs = 0;
  double mFree = 0;         ///< Slots that are expected to be free.
  double mPerRequestMs = 0; ///< Wait that one more request at it makes.
};

Forecast ForecastAt(const PlacementView& aView,
                    const PlacementRequest& aRequest, LiveTarget& aTarget,
                    bool aFirstOwner, TimePoint aNow)
{
  Forecast out;
  const auto& registration = aTarget.mRegistration;
  auto& choice = out.mChoice;
  choice.mTarget.reset(&aTarget);
  if (IsWarm(aView.mWarm, WarmId(aRequest.mKey, aTarget.mLife), aNow)) {
    choice.mWarmth = Warmth::Known;
  } else {
    choice.mWarmth = aFirstOwner ? Warmth::Likely : Warmth::Unlikely;
  }
  const double slots = std::max(1U, registration.mSlots);
  choice.mRunFactor = aView.mContended ? RunFactor(aTarget.mLoad, aNow) : 1;
  const double slowness = Slowness(aTarget.mLoad, aNow) * choice.mRunFactor;
  const auto run = ExpectedRun(aView.mRunTimes, choice.mWarmth);
  const double runMs = static_cast<double>(run.count()) * slowness;
  const double load =
    aView.mContended
      ? SharedExpectedLoad(aTarget.mLoad, aView.mLoadsHeard, aNow)
      : ExpectedLoad(aTarget.mLoad, aNow);
  out.mFree = slots - load;
  out.mAhead = std::max(0.0, load + 1 - slots);
  const double likely =
    static_cast<double>(ExpectedRun(aView.mRunTimes, Warmth::Likely).count());
  const double waitMs = out.mAhead * likely * slowness / slots;
  out.mPerRequestMs = likely * slowness / slots;
  out.mMaxAhead = slots * WaitingPart(aRequest);
  choice.mRoundTrip =
    RoundTripTo(aView.mTrips, registration.mFailureDomain, aTarget.mRegion);
  choice.mWait = Millis(static_cast<std::int64_t>(waitMs));
  choice.mRun = Millis(static_cast<std::int64_t>(runMs));
  out.mCostMs = waitMs + runMs +
                static_cast<double>(choice.mRoundTrip.count()) +
                aTarget.mLoad.mFailing * kFailingMs;
  return out;
}

Millis TimeToClear(const Forecast& aForecast)
{
  const double over = aForecast.mAhead - aForecast.mMaxAhead;
  const double perRequest =
    static_cast<double>(aForecast.mChoice.mWait.count()) /
    std::max(1.0, aForecast.mAhead);
  return std::max(kMinClear,
                  Millis(static_cast<std::int64_t>(over * perRequest)));
}

/// The targets that are looked at for one request.
struct Field
{
  Owners<kNearOwners> mNear;
  Owners<kFarOwners> mFar;
  Owners<1> mCold; ///< Used where there is no other.
  /// When the first target takes one more that now takes none by its limit.
  std::optional<Millis> mLimitedFor;
  /// When the first target takes one more that now wants none.
  std::optional<Millis> mPausedFor;
  /// Besides the owners: targets known to be warm, and one with a rate limit.
  std::vector<LiveTarget*> mOthers;
  bool mAny = false;
};

/// A target with a rate limit owns no objects: both it and the next owner would
/// meet each too seldom to keep it warm.
bool OwnsObjects(const LiveTarget& aTarget, TimePoint aNow) noexcept
{
  return !aTarget.mLimit.mStatement.mPerSecond ||
         MayHaveEnded(aTarget.mLimit, aTarget.mLoad.mLastSend, aNow);
}

Field FindOwners(const PlacementView& aView, const PlacementRequest& aRequest,
                 const std::vector<TargetPtr>& aTargets, TimePoint aNow)
{
  Field out;
  Owners<1> limitedOwner;
  for (const auto& it : aTargets) {
    if (!MayServe(aView.mRegistry, *it, aNow) ||
        !IsAllowed(aRequest.mRoute, it->mRegion) ||
        aRequest.mExcluded.count(it->mRegistration.mId) > 0 ||
        aNow < it->mLoad.mEjectedUntil) {
      continue;
    }
    out.mAny = true;
    if (const auto paused = PausedFor(*it, aNow); paused > Millis(0)) {
      out.mPausedFor = std::min(paused, out.mPausedFor.value_or(paused));
      continue;
    }
    const auto limited = LimitedFor(it->mLimit, it->mLoad.mLastSend, aNow);
    if (limited > Millis(0)) {
      out.mLimitedFor = std::min(limited, out.mLimitedFor.value_or(limited));
      continue;
    }
    const Candidate candidate{ it.get(), HashPair(aRequest.mKey, it->mHash) };
    if (aNow < it->mColdUntil) {
      if (MaySendCold(*it, aView.mCold, aView.mEntries, aNow)) {
        out.mCold.Offer(candidate);
      }
      continue;
    }
    if ((aView.mUnseen || ReturnedLately(aView.mRegistry, *it, aNow)) &&
        !MaySendUnseen(*it, aView.mCold, aView.mRegionEntries, aNow)) {
      continue;
    }
    if (IsWarm(aView.mWarm, WarmId(aRequest.mKey, it->mLife), aNow)) {
      out.mOthers.push_back(it.get());
    }
    if (it->mRegion != aView.mTrips.mOwnRegion) {
      out.mFar.Offer(candidate);
    } else if (OwnsObjects(*it, aNow)) {
      out.mNear.Offer(candidate);
    } else {
      limitedOwner.Offer(candidate);
    }
  }
  if (auto* target = limitedOwner.mBest[0].mTarget) {
    out.mOthers.push_back(target);
  }
  return out;
}

/// The best of several forecasts.
struct Best
{
  std::optional<Forecast> mBest;     ///< With room, least cost.
  std::optional<Forecast> mShortest; ///< Without: the one with room first.

  void Consider(const Forecast& aForecast)
  {
    if (!mShortest || aForecast.mAhead < mShortest->mAhead) {
      mShortest = aForecast;
    }
    if (aForecast.mAhead <= aForecast.mMaxAhead &&
        (!mBest || aForecast.mCostMs < mBest->mCostMs)) {
      mBest = aForecast;
    }
  }
};

/// @returns true where the estimates do not tell which of two candidates
///          serves a request first
bool IsNearEqual(const Forecast& aBest, const Forecast& aOther) noexcept
{
  return aOther.mChoice.mWarmth == aBest.mChoice.mWarmth &&
         aOther.mAhead <= aOther.mMaxAhead &&
         aOther.mCostMs - aBest.mCostMs <=
           kUncertainRequests *
             std::max(aBest.mPerRequestMs, aOther.mPerRequestMs);
}

/// Replaces the best candidate by a random one of those that are as good as
/// it by the estimates, weighted by free slots. Entries with the same stale
/// view would otherwise all choose the same target. Where the best one has free
/// slots beyond the uncertainty, requests stay with it: its object is warm
/// there, and no other target has to keep a copy.
void DrawNearEqual(Best& aBest, const std::vector<Forecast>& aForecasts,
                   std::uint64_t aDraw)
{
  if (!aBest.mBest || aForecasts.size() < 2 ||
      aBest.mBest->mFree >= 1 + kUncertainRequests) {
    return;
  }
  const auto best = *aBest.mBest;
  const auto weight = [&](const Forecast& a) {
    return IsNearEqual(best, a) ? std::max(kFullWeight, a.mFree) : 0;
  };
  double left = 0;
  for (const auto& it : aForecasts) {
    left += weight(it);
  }
  left *= static_cast<double>(aDraw >> 11U) * 0x1p-53;
  for (const auto& it : aForecasts) {
    left -= weight(it);
    if (left < 0) {
      aBest.mBest = it;
      return;
    }
  }
}

/// @param aFar  the owners are of other regions
template<std::size_t N>
Best BestOf(const PlacementView& aView, const PlacementRequest& aRequest,
            const Owners<N>& aOwners, const std::vector<LiveTarget*>& aOthers,
            bool aFar, TimePoint aNow)
{
  Best out;
  std::vector<Forecast> forecasts;
  const auto consider = [&](LiveTarget& aTarget, bool aFirst) {
    auto forecast = ForecastAt(aView, aRequest, aTarget, aFirst, aNow);
    forecast.mChoice.mFar = aFar;
    out.Consider(forecast);
    if (!aView.mContended) {
      return;
    }
    // An owner that is known to be warm comes twice.
    const bool listed =
      std::any_of(forecasts.begin(), forecasts.end(), [&](const Forecast& a) {
        return a.mChoice.mTarget == forecast.mChoice.mTarget;
      });
    if (!listed) {
      forecasts.push_back(std::move(forecast));
    }
  };
  for (std::size_t n = 0; n < N; ++n) {
    if (aOwners.mBest[n].mTarget != nullptr) {
      consider(*aOwners.mBest[n].mTarget, n == 0);
    }
  }
  for (auto* it : aOthers) {
    if ((it->mRegion != aView.mTrips.mOwnRegion) == aFar) {
      consider(*it, false);
    }
  }
  DrawNearEqual(out, forecasts, aRequest.mDraw);
  return out;
}

/// What comes of weighing regions against each other.
struct Weighed
{
  std::optional<Forecast> mBest;
  bool mPrefersFar = false; ///< Without the bound on shifts it would leave.
  bool mBound = false;      ///< Only the bound on shifts is in the way.
};

/// Takes the cheaper of two, unless the bound on shifts between regions forbids
/// it. A region without any candidate, and one without room unless the bound on
/// shifts is strict, leaves the other one.
Weighed Weigh(const Best& aNear, const Best& aFar,
              const ShiftBound& aShiftBound)
{
  const bool prefersFar =
    aFar.mBest && (!aNear.mBest || aFar.mBest->mCostMs < aNear.mBest->mCostMs);
  bool goFar = prefersFar;
  if (!aShiftBound.mMayLeave || !aShiftBound.mMayStay) {
    goFar = aShiftBound.mMayLeave;
  }
  const auto& wanted = goFar ? aFar : aNear;
  const auto& other = goFar ? aNear : aFar;
  const bool bound = aShiftBound.mStrict && wanted.mShortest;
  Weighed out{ wanted.mBest || bound ? wanted.mBest : other.mBest, prefersFar,
               false };
  out.mBound = !out.mBest && other.mBest;
  return out;
}

PlacementChoice Refuse(const Field& aField, const Best& aNear, const Best& aFar)
{
  PlacementChoice out;
  const auto& shortest =
    aNear.mShortest &&
        (!aFar.mShortest || aNear.mShortest->mAhead <= aFar.mShortest->mAhead)
      ? aNear.mShortest
      : aFar.mShortest;
  if (shortest) {
    out = shortest->mChoice;
    out.mClearsIn = TimeToClear(*shortest);
    out.mRefusal = PlacementRefusal::Full;
  } else if (aField.mLimitedFor || aField.mPausedFor) {
    const auto limited = aField.mLimitedFor.value_or(kMaxPause);
    const auto paused = aField.mPausedFor.value_or(kMaxPause);
    out.mClearsIn = std::max(kMinClear, std::min(limited, paused));
    out.mRefusal =
      aField.mLimitedFor ? PlacementRefusal::Limited : PlacementRefusal::Paused;
  } else {
    out.mClearsIn = kMinClear;
    out.mRefusal =
      aField.mAny ? PlacementRefusal::Full : PlacementRefusal::NoTarget;
  }
  return out;
}

} // namespace

bool MaySendCold(const LiveTarget& aTarget, const ColdBound& aBound,
                 std::size_t aEntries, TimePoint aNow) noexcept
{
  const auto gap = GapOf(aBound.mRate * kColdPart, aEntries);
  // All entries learn of a new target in one moment: first sends take turns.
  const auto turn = Millis(static_cast<std::int64_t>(
    aTarget.mColdTurn * static_cast<double>(gap.count())));
  return aNow - aTarget.mLoad.mLastSend >= gap &&
         aNow - aTarget.mColdSince >= turn;
}

bool MaySendUnseen(const LiveTarget& aTarget, const ColdBound& aBound,
                   std::size_t aRegionEntries, TimePoint aNow) noexcept
{
  const double most = aBound.mRate * aBound.mOver + aBound.mSlack;
  // One more sharer stands for the entries of all other regions.
  return aNow - aTarget.mLoad.mLastSend >=
         GapOf(most * kUnseenPart, aRegionEntries + 1);
}

PlacementChoice ChooseOwner(const PlacementView& aView,
                            const PlacementRequest& aRequest, TimePoint aNow)
{
  const auto list = aView.mRegistry.mByService.find(aRequest.mService);
  if (list == aView.mRegistry.mByService.end()) {
    return Refuse({}, {}, {});
  }
  const auto field = FindOwners(aView, aRequest, list->second, aNow);
  const auto near =
    BestOf(aView, aRequest, field.mNear, field.mOthers, false, aNow);
  const auto far =
    BestOf(aView, aRequest, field.mFar, field.mOthers, true, aNow);
  auto weighed = Weigh(near, far, aView.mShiftBound);
  auto& best = weighed.mBest;
  if (!near.mShortest && !far.mShortest) {
    best = BestOf(aView, aRequest, field.mCold, {}, false, aNow).mBest;
  }
  auto out = best ? best->mChoice : Refuse(field, near, far);
  out.mPrefersFar = weighed.mPrefersFar;
  out.mStrict = aView.mShiftBound.mStrict;
  if (!best) {
    out.mRefusal = weighed.mBound ? PlacementRefusal::Bound : out.mRefusal;
    return out;
  }
  if (aNow + out.mRoundTrip + out.mWait + out.mRun > aRequest.mDeadline) {
    out.mRefusal = PlacementRefusal::TooLate;
    out.mClearsIn = kMinClear;
  }
  return out;
}

} // namespace guavaline
