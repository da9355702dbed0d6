#include <guavaline/placement/peer_load.hpp>

#include <algorithm>
#include <cmath>

namespace guavaline {
namespace {

/// Percents above this are taken as errors of the target.
constexpr std::uint32_t kMaxPercent = 10'000;
constexpr double kUsualPercent = 100;
/// Hosts change their speed several times a second.
constexpr double kFactorHalfLifeMs = 300;
/// Weight of a new report in the average of the requests of other regions. One
/// report is off by what the region's entries sent since their last messages.
constexpr double kRestWeight = 0.2;
/// Without reports, nothing is known of other regions after some time.
constexpr double kRestHalfLifeMs = 3'000;
/// An unchanged in-flight count is repeated before it lapses at the others.
constexpr Millis kTellAgain{ 600 };

double MsSince(TimePoint aThen, TimePoint aNow) noexcept
{
  return std::chrono::duration<double, std::milli>(aNow - aThen).count();
}

/// @returns the requests that other entries than one have in flight
double PeersInFlight(const SharedLoad& aShared, std::uint64_t aExcept,
                     TimePoint aNow) noexcept
{
  double out = 0;
  for (const auto& it : aShared.mPeers) {
    if (it.mEntry != aExcept && aNow - it.mHeard <= kLoadsFresh) {
      out += it.mInFlight;
    }
  }
  return out;
}

/// @param aRegion  what the entries of the region had in flight then
void TakeReport(SharedLoad& aShared, const LoadReport& aReport,
                double aRegion) noexcept
{
  if (aReport.mAt <= aShared.mReported) {
    return;
  }
  aShared.mRestMean +=
    kRestWeight * (aReport.mRequests - aRegion - aShared.mRestMean);
  aShared.mReported = aReport.mAt;
  if (aReport.mRunPercent > 0) {
    aShared.mRunFactor = aReport.mRunPercent / kUsualPercent;
    aShared.mRunFactorAt = aReport.mAt;
  }
}

} // namespace

std::optional<std::uint32_t> UsablePercent(
  std::optional<std::uint32_t> aPercent) noexcept
{
  const bool usable = aPercent && *aPercent > 0 && *aPercent <= kMaxPercent;
  return usable ? aPercent : std::nullopt;
}

Millis AtUsualSpeed(Millis aTook,
                    std::optional<std::uint32_t> aPercent) noexcept
{
  return aPercent ? WithoutFactor(aTook, *aPercent / kUsualPercent) : aTook;
}

Millis WithoutFactor(Millis aExpected, double aFactor) noexcept
{
  return std::max(
    Millis(1),
    Millis(std::llround(static_cast<double>(aExpected.count()) / aFactor)));
}

void NoteSharedReport(TargetLoad& aLoad, const ReportedLoad& aReport,
                      std::uint32_t aOwn, TimePoint aNow) noexcept
{
  auto& shared = aLoad.mShared;
  shared.mOwnReport = { aReport.mRunning + aReport.mWaiting, aOwn,
                        UsablePercent(aReport.mRunPercent).value_or(0), aNow };
  // No entry has the number 0.
  TakeReport(shared, shared.mOwnReport, aOwn + PeersInFlight(shared, 0, aNow));
}

void HearReport(TargetLoad& aLoad, std::uint64_t aEntry,
                const LoadReport& aReport, TimePoint aNow) noexcept
{
  auto& shared = aLoad.mShared;
  auto report = aReport;
  report.mRunPercent = UsablePercent(aReport.mRunPercent).value_or(0);
  // The own count is of now, not of then; the difference averages out.
  TakeReport(shared, report,
             report.mOwn + aLoad.mOwn + PeersInFlight(shared, aEntry, aNow));
}

void HearFlights(TargetLoad& aLoad, std::uint64_t aEntry,
                 std::uint32_t aInFlight, TimePoint aNow)
{
  auto& peers = aLoad.mShared.mPeers;
  std::erase_if(peers, [&](const PeerFlights& a) {
    return a.mEntry == aEntry || aNow - a.mHeard > kLoadsFresh;
  });
  if (aInFlight > 0) {
    peers.push_back({ aEntry, aInFlight, aNow });
  }
}

double SharedExpectedLoad(const TargetLoad& aLoad, TimePoint aHeard,
                          TimePoint aNow) noexcept
{
  const auto& shared = aLoad.mShared;
  // Where other entries are heard, one that does not name a target has no
  // requests there.
  if (aNow - std::max(aHeard, shared.mReported) > kLoadsFresh) {
    return ExpectedLoad(aLoad, aNow);
  }
  const double fresh =
    std::exp2(-MsSince(shared.mReported, aNow) / kRestHalfLifeMs);
  return aLoad.mOwn + PeersInFlight(shared, 0, aNow) +
         fresh * std::max(0.0, shared.mRestMean);
}

double RunFactor(const TargetLoad& aLoad, TimePoint aNow) noexcept
{
  const auto& shared = aLoad.mShared;
  const double fresh =
    std::exp2(-MsSince(shared.mRunFactorAt, aNow) / kFactorHalfLifeMs);
  return 1 + fresh * (shared.mRunFactor - 1);
}

bool HasNewReport(const TargetLoad& aLoad) noexcept
{
  return aLoad.mShared.mOwnReport.mAt > aLoad.mShared.mTold;
}

bool HasLoadNews(const TargetLoad& aLoad, TimePoint aNow) noexcept
{
  const auto& shared = aLoad.mShared;
  return aLoad.mOwn != shared.mToldOwn || HasNewReport(aLoad) ||
         (aLoad.mOwn > 0 && aNow - shared.mTold >= kTellAgain);
}

void MarkTold(TargetLoad& aLoad, TimePoint aNow) noexcept
{
  aLoad.mShared.mToldOwn = aLoad.mOwn;
  aLoad.mShared.mTold = aNow;
}

} // namespace guavaline
