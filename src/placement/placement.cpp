#include <guavaline/placement/placement.hpp>

#include <guavaline/core/hash.hpp>

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
constexpr double kMostWaitingFirst = 1.0;
constexpr double kMostWaitingOther = 0.5;
/// Penalty for a target all of whose exchanges fail.
constexpr double kFailingMs = 1'500;
constexpr Millis kLeastClear{ 100 };
/// A cold target's rate is used up to this part.
constexpr double kColdPart = 0.8;

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

double ColdRateOf(double aColdRate)
{
  return std::max(aColdRate, 0.1) * kColdPart;
}

/// The expected course of a request at one target.
struct Forecast
{
  PlacementChoice mChoice;
  double mAhead = 0; ///< Requests that would wait before it.
  double mMostAhead = 0;
  double mCostMs = 0;
};

Forecast ForecastAt(const PlacementView& aView,
                    const PlacementRequest& aRequest, LiveTarget& aTarget,
                    bool aFirstOwner, TimePoint aNow)
{
  Forecast out;
  const auto& registration = aTarget.mRegistration;
  auto& choice = out.mChoice;
  choice.mTarget.reset(&aTarget);
  if (IsWarm(aView.mWarm, aRequest.mKey, aTarget.mHash, aNow)) {
    choice.mWarmth = Warmth::Known;
  } else {
    choice.mWarmth = aFirstOwner ? Warmth::Likely : Warmth::Unlikely;
  }
  const double slots = std::max(1U, registration.mSlots);
  const double slowness = Slowness(aTarget.mLoad, aNow);
  const auto run = ExpectedRun(aView.mRunTimes, choice.mWarmth);
  const double runMs = static_cast<double>(run.count()) * slowness;
  out.mAhead = std::max(0.0, ExpectedLoad(aTarget.mLoad, aNow) + 1 - slots);
  const double likely =
    static_cast<double>(ExpectedRun(aView.mRunTimes, Warmth::Likely).count());
  const double waitMs = out.mAhead * likely * slowness / slots;
  out.mMostAhead = slots * (aRequest.mRoute.mPriority <= 1 ? kMostWaitingFirst
                                                           : kMostWaitingOther);
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
  const double over = aForecast.mAhead - aForecast.mMostAhead;
  const double perRequest =
    static_cast<double>(aForecast.mChoice.mWait.count()) /
    std::max(1.0, aForecast.mAhead);
  return std::max(kLeastClear,
                  Millis(static_cast<std::int64_t>(over * perRequest)));
}

} // namespace

bool MaySendCold(const LiveTarget& aTarget, double aColdRate,
                 std::size_t aEntries, TimePoint aNow) noexcept
{
  const double gapMs =
    1'000.0 * static_cast<double>(aEntries) / ColdRateOf(aColdRate);
  return aNow - aTarget.mLoad.mColdSend >=
         Millis(static_cast<std::int64_t>(gapMs));
}

PlacementChoice ChooseOwner(const PlacementView& aView,
                            const PlacementRequest& aRequest, TimePoint aNow)
{
  Owners<kNearOwners> near;
  Owners<kFarOwners> far;
  std::vector<LiveTarget*> warm;
  bool any = false;
  const auto list = aView.mRegistry.mByService.find(aRequest.mService);
  if (list == aView.mRegistry.mByService.end()) {
    PlacementChoice out;
    out.mRefusal = PlacementRefusal::NoTarget;
    return out;
  }
  for (const auto& it : list->second) {
    if (!MayServe(aView.mRegistry, *it, aNow) ||
        !IsAllowed(aRequest.mRoute, it->mRegion) ||
        aRequest.mExcluded.count(it->mRegistration.mId) > 0 ||
        aNow < it->mLoad.mEjectedUntil) {
      continue;
    }
    any = true;
    if (aNow < it->mColdUntil) {
      continue;
    }
    const Candidate candidate{ it.get(), HashPair(aRequest.mKey, it->mHash) };
    if (it->mRegion == aView.mTrips.mOwnRegion) {
      near.Offer(candidate);
    } else {
      far.Offer(candidate);
    }
  }
  std::optional<Forecast> best;
  std::optional<Forecast> shortest; // The one that has room first.
  const auto consider = [&](const Candidate& a, bool aFirst) {
    if (a.mTarget == nullptr) {
      return;
    }
    auto forecast = ForecastAt(aView, aRequest, *a.mTarget, aFirst, aNow);
    if (!shortest || forecast.mAhead < shortest->mAhead) {
      shortest = forecast;
    }
    if (forecast.mAhead <= forecast.mMostAhead &&
        (!best || forecast.mCostMs < best->mCostMs)) {
      best = forecast;
    }
  };
  for (std::size_t n = 0; n < kNearOwners; ++n) {
    consider(near.mBest[n], n == 0);
  }
  for (std::size_t n = 0; n < kFarOwners; ++n) {
    consider(far.mBest[n], n == 0);
  }
  PlacementChoice out;
  if (!best && !shortest) {
    out.mRefusal = any ? PlacementRefusal::Full : PlacementRefusal::NoTarget;
    out.mClearsIn = kLeastClear;
    return out;
  }
  if (!best) {
    out = shortest->mChoice;
    out.mRefusal = PlacementRefusal::Full;
    out.mClearsIn = TimeToClear(*shortest);
    return out;
  }
  out = best->mChoice;
  if (aNow + out.mRoundTrip + out.mWait + out.mRun > aRequest.mDeadline) {
    out.mRefusal = PlacementRefusal::TooLate;
    out.mClearsIn = kLeastClear;
  }
  return out;
}

} // namespace guavaline
