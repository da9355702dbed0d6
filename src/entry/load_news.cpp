#include "entry/load_news.hpp"

#include "entry/contention.hpp"
#include "entry/messages.hpp"

#include <guavaline/core/units.hpp>
#include <guavaline/placement/peer_load.hpp>

#include <algorithm>

namespace guavaline::detail {

namespace {

/// Bounds the bytes of a message.
constexpr std::size_t kMaxTargets = 64;
/// Leaves 40 of the 64 bits of a life: two of 3,000 targets have the same
/// number in one of 240,000 deployments, and then mix their figures up.
constexpr unsigned kLoadIdShift = 24;
/// Bounds of what a message may say.
constexpr std::uint64_t kMaxRequests = 1'000'000;
constexpr std::uint64_t kMaxAgeMs = 600'000;
/// Bounds the lines of one summary.
constexpr std::size_t kMaxLines = 16;

TimePoint LastChange(const LiveTarget& aTarget) noexcept
{
  return std::max(aTarget.mLoad.mLastSend,
                  aTarget.mLoad.mShared.mOwnReport.mAt);
}

/// @returns the targets to tell of: those with reports first
std::vector<LiveTarget*> ChangedTargets(const Entry& aEntry, TimePoint aNow)
{
  std::vector<LiveTarget*> out;
  for (const auto& [service, targets] : aEntry.mRegistry.mByService) {
    if (!IsContended(aEntry, service)) {
      continue;
    }
    for (const auto& it : targets) {
      if (HasLoadNews(it->mLoad, aNow)) {
        out.push_back(it.get());
      }
    }
  }
  if (out.size() > kMaxTargets) {
    std::nth_element(out.begin(), out.begin() + kMaxTargets, out.end(),
                     [](const LiveTarget* a, const LiveTarget* b) {
                       return LastChange(*a) > LastChange(*b);
                     });
    out.resize(kMaxTargets);
  }
  std::partition(out.begin(), out.end(),
                 [](const LiveTarget* a) { return HasNewReport(a->mLoad); });
  return out;
}

/// Brings the index of targets up to date.
void IndexTargets(Entry& aEntry)
{
  auto& loads = aEntry.mLoads;
  const auto& registry = aEntry.mRegistry;
  if (loads.mIndexed == registry.mChanged &&
      loads.mTargets.size() == registry.mTargets.size()) {
    return;
  }
  loads.mTargets.clear();
  for (const auto& [id, target] : registry.mTargets) {
    loads.mTargets.emplace(LoadId(*target), target);
  }
  loads.mIndexed = registry.mChanged;
}

bool AreWithin(const std::vector<std::uint64_t>& aValues, std::uint64_t aMost)
{
  return std::all_of(aValues.begin(), aValues.end(),
                     [&](std::uint64_t a) { return a <= aMost; });
}

bool IsWellFormed(const LoadNews& aNews)
{
  const auto targets = aNews.mTargets.size();
  const auto reports = aNews.mRequests.size();
  return aNews.mEntry != 0 && targets <= kMaxTargets && reports <= targets &&
         aNews.mInFlight.size() == targets && aNews.mOwn.size() == reports &&
         aNews.mPercents.size() == reports && aNews.mAges.size() == reports &&
         AreWithin(aNews.mInFlight, kMaxRequests) &&
         AreWithin(aNews.mRequests, kMaxRequests) &&
         AreWithin(aNews.mOwn, kMaxRequests) &&
         AreWithin(aNews.mPercents, kMaxRequests) &&
         AreWithin(aNews.mAges, kMaxAgeMs);
}

std::uint32_t Small(std::uint64_t aValue) noexcept
{
  return static_cast<std::uint32_t>(aValue);
}

/// Takes in one target of a message.
void HearTarget(Entry& aEntry, LiveTarget& aTarget, const LoadNews& aNews,
                std::size_t aIndex, TimePoint aNow)
{
  if (aIndex < aNews.mRequests.size()) {
    const LoadReport report{
      Small(aNews.mRequests[aIndex]), Small(aNews.mOwn[aIndex]),
      Small(aNews.mPercents[aIndex]),
      aNow - Millis(static_cast<Millis::rep>(aNews.mAges[aIndex]))
    };
    HearReport(aTarget.mLoad, aNews.mEntry, report, aNow);
    if (UsablePercent(report.mRunPercent)) {
      aEntry.mSpeedReporting.insert(aTarget.mRegistration.mService);
    }
  }
  HearFlights(aTarget.mLoad, aNews.mEntry, Small(aNews.mInFlight[aIndex]),
              aNow);
}

void LogLoad(const Entry& aEntry, const std::string& aService,
             const std::vector<TargetPtr>& aTargets, TimePoint aNow)
{
  std::size_t fresh = 0;
  Millis ages{ 0 };
  double sum = 0;
  double highest = 0;
  double lowest = 0;
  for (const auto& it : aTargets) {
    const auto age =
      std::chrono::duration_cast<Millis>(aNow - it->mLoad.mShared.mReported);
    if (age <= kLoadsFresh) {
      ++fresh;
      ages += age;
    }
    const double load =
      SharedExpectedLoad(it->mLoad, aEntry.mLoads.mHeard, aNow) /
      std::max(1U, it->mRegistration.mSlots);
    lowest = it == aTargets.front() ? load : std::min(lowest, load);
    highest = std::max(highest, load);
    sum += load;
  }
  const auto mean =
    ages / static_cast<Millis::rep>(std::max<std::size_t>(1, fresh));
  LogBounded(LogClass::Failure, LogLevel::Info, "target_loads",
             { { "service", aService },
               { "targets", std::to_string(aTargets.size()) },
               { "fresh", std::to_string(fresh) },
               { "mean_age_ms", MillisText(mean) },
               { "load_mean",
                 DecimalText(sum / static_cast<double>(aTargets.size()), 2) },
               { "load_lowest", DecimalText(lowest, 2) },
               { "load_highest", DecimalText(highest, 2) } });
}

} // namespace

std::uint64_t LoadId(const LiveTarget& aTarget) noexcept
{
  return aTarget.mLife >> kLoadIdShift;
}

LoadNews TakeLoadNews(Entry& aEntry, TimePoint aNow)
{
  LoadNews out;
  out.mEntry = ShortId(aEntry.mRoster.mSelf.mIncarnation);
  for (auto* it : ChangedTargets(aEntry, aNow)) {
    out.mTargets.push_back(LoadId(*it));
    out.mInFlight.push_back(it->mLoad.mOwn);
    if (HasNewReport(it->mLoad)) {
      const auto& report = it->mLoad.mShared.mOwnReport;
      const auto age = std::chrono::duration_cast<Millis>(aNow - report.mAt);
      out.mRequests.push_back(report.mRequests);
      out.mOwn.push_back(report.mOwn);
      out.mPercents.push_back(report.mRunPercent);
      out.mAges.push_back(
        static_cast<std::uint64_t>(std::max(Millis(0), age).count()));
    }
    MarkTold(it->mLoad, aNow);
  }
  return out;
}

void PushLoadNews(Entry& aEntry, TimePoint aNow)
{
  const auto news = TakeLoadNews(aEntry, aNow);
  if (news.mTargets.empty()) {
    return;
  }
  const auto peers = ServingPeers(aEntry.mRoster, aNow);
  PushToAll(aEntry, peers, kLoadKind, ToJson(news));
  for (std::size_t n = 0; n < peers.size(); ++n) {
    aEntry.mMetrics.Count("load_messages", "outcome=\"sent\"");
  }
}

bool HearLoadNews(Entry& aEntry, const std::string& aBody, TimePoint aNow)
{
  LoadNews news;
  if (!FromJson(aBody, news).empty() || !IsWellFormed(news)) {
    aEntry.mMetrics.Count("load_messages", "outcome=\"unreadable\"");
    return false;
  }
  aEntry.mMetrics.Count("load_messages", "outcome=\"received\"");
  aEntry.mLoads.mHeard = aNow;
  IndexTargets(aEntry);
  for (std::size_t n = 0; n < news.mTargets.size(); ++n) {
    const auto it = aEntry.mLoads.mTargets.find(news.mTargets[n]);
    if (it == aEntry.mLoads.mTargets.end()) {
      aEntry.mMetrics.Count("load_unknown_targets", "");
      continue;
    }
    HearTarget(aEntry, *it->second, news, n, aNow);
  }
  return true;
}

void LogLoads(const Entry& aEntry, TimePoint aNow)
{
  std::size_t lines = 0;
  for (const auto& [service, targets] : aEntry.mRegistry.mByService) {
    if (targets.empty() || !IsContended(aEntry, service)) {
      continue;
    }
    if (++lines > kMaxLines) {
      return;
    }
    LogLoad(aEntry, service, targets, aNow);
  }
}

} // namespace guavaline::detail
