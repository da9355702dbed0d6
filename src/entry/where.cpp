/// Where a request would go now, and why.

#include "entry/request_state.hpp"

#include <guavaline/core/hash.hpp>
#include <guavaline/core/units.hpp>

#include <algorithm>
#include <sstream>

namespace guavaline::detail {

namespace {

/// Targets that are shown, in the order in which they would be taken.
constexpr std::size_t kMaxCandidates = 8;

const char* NameOf(Warmth aWarmth) noexcept
{
  switch (aWarmth) {
    case Warmth::Known:
      return "known";
    case Warmth::Likely:
      return "likely";
    case Warmth::Unlikely:
      break;
  }
  return "unlikely";
}

std::string Ms(Millis aTime)
{
  return MillisText(aTime) + " ms";
}

std::string OneDecimal(double aNumber)
{
  return DecimalText(aNumber, 1);
}

std::string Join(const std::vector<std::string>& aParts)
{
  std::string out;
  for (const auto& it : aParts) {
    out += (out.empty() ? "" : ",") + it;
  }
  return out.empty() ? "all" : out;
}

void WriteRoute(const Route& aRoute, std::ostream& aOut)
{
  aOut << "route: " << aRoute.mName << " (" << aRoute.mHost
       << aRoute.mPathPrefix << "), timeout " << Ms(aRoute.mTimeout)
       << ", goal " << Ms(aRoute.mLatencyGoal) << ", priority "
       << aRoute.mPriority << ", regions " << Join(aRoute.mRegions) << '\n';
}

void WriteAccount(const ClientAccount& aAccount, std::ostream& aOut)
{
  aOut << "account: " << aAccount.mName;
  if (aAccount.mPriority) {
    aOut << ", priority " << *aAccount.mPriority;
  }
  if (aAccount.mPerSecond > 0) {
    aOut << ", limit " << OneDecimal(aAccount.mPerSecond)
         << " requests/s and a burst of " << OneDecimal(aAccount.mBurst);
  }
  aOut << ", regions " << Join(aAccount.mRegions) << '\n';
}

/// A name shows up in the text as it is, and keeps to its line.
std::string Printable(std::string aText)
{
  std::replace_if(
    aText.begin(), aText.end(),
    [](unsigned char a) { return a < ' ' || a == 127; }, '?');
  return aText;
}

void WriteCandidate(const PlacementChoice& aChoice, std::ostream& aOut,
                    TimePoint aNow)
{
  const auto& target = *aChoice.mTarget;
  const auto& load = target.mLoad;
  aOut << "candidate: " << target.mRegistration.mId << ", region "
       << target.mRegion << ", domain " << target.mRegistration.mFailureDomain
       << ", warm " << NameOf(aChoice.mWarmth) << ", wait " << Ms(aChoice.mWait)
       << ", run " << Ms(aChoice.mRun) << ", round trip "
       << Ms(aChoice.mRoundTrip) << ", load "
       << OneDecimal(ExpectedLoad(load, aNow)) << " of "
       << target.mRegistration.mSlots << " slots (" << load.mOwn << " own, ";
  if (load.mReported == TimePoint{}) {
    aOut << "no report)";
  } else {
    aOut << "report "
         << Ms(std::chrono::duration_cast<Millis>(aNow - load.mReported))
         << " old)";
  }
  if (const auto& limit = target.mLimit.mStatement.mPerSecond) {
    aOut << ", limit " << OneDecimal(*limit) << " requests/s";
  }
  if (aNow < target.mColdUntil) {
    aOut << ", cold";
  }
  if (aChoice.mRefusal != PlacementRefusal::None) {
    aOut << ", not taken: " << detail::NameOf(aChoice.mRefusal);
  }
  aOut << '\n';
}

/// Counts the service's targets that take nothing now, by reason.
void WriteOthers(const Entry& aEntry, const RequestState& aState,
                 std::ostream& aOut, TimePoint aNow)
{
  const auto list = aEntry.mRegistry.mByService.find(aState.mService);
  if (list == aEntry.mRegistry.mByService.end()) {
    return;
  }
  const auto& regions = aState.mRoute.mRegions;
  std::map<std::string, std::size_t> counts;
  for (const auto& it : list->second) {
    if (!MayServe(aEntry.mRegistry, *it, aNow)) {
      ++counts["leaving or evacuated"];
    } else if (!regions.empty() && std::find(regions.begin(), regions.end(),
                                             it->mRegion) == regions.end()) {
      ++counts["in another region"];
    } else if (aNow < it->mLoad.mEjectedUntil) {
      ++counts["failing"];
    } else if (PausedFor(*it, aNow) > Millis(0)) {
      ++counts["paused"];
    } else if (LimitedFor(it->mLimit, it->mLoad.mLastSend, aNow) > Millis(0)) {
      ++counts["at their limit"];
    } else if (aNow < it->mColdUntil) {
      ++counts["cold"];
    }
  }
  aOut << "targets: " << list->second.size();
  for (const auto& [reason, count] : counts) {
    aOut << ", " << count << ' ' << reason;
  }
  aOut << '\n';
}

/// Writes the targets in the order of choice, each with those before it left
/// out, and the choice.
void WriteChoice(Entry& aEntry, RequestState& aState, std::ostream& aOut,
                 TimePoint aNow)
{
  Choose(aEntry, aState, aNow);
  const auto first = aState.mChoice;
  for (std::size_t n = 0; n < kMaxCandidates && aState.mChoice.mTarget; ++n) {
    WriteCandidate(aState.mChoice, aOut, aNow);
    aState.mTried.insert(aState.mChoice.mTarget->mRegistration.mId);
    Choose(aEntry, aState, aNow);
  }
  if (first.mRefusal == PlacementRefusal::None) {
    aOut << "choice: " << first.mTarget->mRegistration.mId << '\n';
  } else {
    aOut << "rejected: " << detail::NameOf(first.mRefusal) << ", retry after "
         << Ms(first.mClearsIn) << '\n';
  }
}

/// The service that the request's object has at present. The tally of a split
/// route is a copy, which the pick may change.
std::string ServiceOf(const Entry& aEntry, const RequestState& aState)
{
  const auto it = aEntry.mRoutes.find(aState.mRoute.mName);
  auto tally = it == aEntry.mRoutes.end() ? SplitTally() : it->second.mSplit;
  return PickService(aState.mRoute, aState.mKey, tally,
                     SharingEntries(aEntry.mRoster), 0);
}

} // namespace

HttpResponse AnswerWhere(Entry& aEntry, const HttpRequest& aRequest,
                         TimePoint aNow)
{
  const auto query = [&](std::string_view aName) {
    return QueryParameter(aRequest.mTarget, aName).value_or("");
  };
  const auto host = query("host");
  const auto path = query("path");
  const auto limitText = query("limit_ms");
  const auto given = ParseMillis(limitText);
  if (host.empty() || path.empty() || (!limitText.empty() && !given)) {
    return TextResponse(400, "needs host and path; limit_ms is a number\n");
  }
  std::ostringstream out;
  out << "entry: " << aEntry.mSettings.mName << ", region "
      << aEntry.mSettings.mRegion << ", configuration "
      << aEntry.mRouting.mVersion << '\n';
  const auto reject = [&](const char* aReason) {
    out << "rejected: " << aReason << '\n';
    return TextResponse(200, out.str());
  };
  if (!IsReady(aEntry)) {
    return reject("not_ready");
  }
  if (aEntry.mStopping) {
    return reject("stopping");
  }
  RequestState state;
  const auto* route = MatchRoute(aEntry.mRouting, host, PathOf(path));
  if (route == nullptr) {
    return reject("no_route");
  }
  state.mRoute = *route;
  WriteRoute(state.mRoute, out);
  if (const auto name = query("account"); !name.empty()) {
    const auto account = aEntry.mRouting.mAccounts.find(name);
    if (account == aEntry.mRouting.mAccounts.end()) {
      out << "account: " << Printable(name) << " is not known\n";
      return reject("unknown_key");
    }
    WriteAccount(account->second, out);
    state.mAccount = name;
    state.mRoute.mPriority =
      account->second.mPriority.value_or(state.mRoute.mPriority);
    auto regions =
      IntersectRegions(state.mRoute.mRegions, account->second.mRegions);
    if (!regions) {
      return reject("no_region");
    }
    state.mRoute.mRegions = std::move(*regions);
  }
  auto limit = given.value_or(kDefaultLimit);
  if (route->mTimeout.count() > 0) {
    limit = std::min(limit, route->mTimeout);
  }
  state.mArrived = aNow;
  state.mDeadline = aNow + limit;
  const auto object = query("object");
  state.mKey = Hash(object, Hash(route->mPathPrefix));
  state.mService = ServiceOf(aEntry, state);
  out << "service: " << state.mService << ", object "
      << (object.empty() ? "none (owners differ with each request)"
                         : Printable(object))
      << ", time limit " << Ms(limit) << '\n';
  WriteOthers(aEntry, state, out, aNow);
  WriteChoice(aEntry, state, out, aNow);
  return TextResponse(200, out.str());
}

} // namespace guavaline::detail
