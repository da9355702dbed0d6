#include "daemon/adoption.hpp"

#include "daemon/handover.hpp"
#include "daemon/loans.hpp"
#include "daemon/log.hpp"
#include "peers/messages.hpp"

#include <guavaline/configuration/check.hpp>
#include <guavaline/configuration/questionnaire.hpp>
#include <guavaline/core/hash.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

constexpr Millis kWatchWait{ 10'000 };
constexpr Millis kFirstRetry{ 200 };
constexpr Millis kLongestRetry{ 5'000 };
constexpr Millis kUnwatchedPoll{ 30'000 };
constexpr Millis kUnwatchedStep{ 1'000 };
constexpr Millis kHostListPeriod{ 2'000 };
constexpr Millis kFetchTimeout{ 2'000 };

/// For each new target index the old one, by name; -1 for new targets.
std::vector<int> Renumbering(const Service& aOld, const Service& aNew)
{
  std::vector<int> out;
  for (const auto& it : aNew.mTargets) {
    const auto at =
      std::find_if(aOld.mTargets.begin(), aOld.mTargets.end(),
                   [&](const Target& a) { return a.mName == it.mName; });
    out.push_back(at == aOld.mTargets.end()
                    ? -1
                    : static_cast<int>(at - aOld.mTargets.begin()));
  }
  return out;
}

std::vector<TargetHealth> CarryHealth(const std::vector<TargetHealth>& aOld,
                                      const std::vector<int>& aRenumbered)
{
  std::vector<TargetHealth> out;
  for (const int it : aRenumbered) {
    out.push_back(it < 0 ? TargetHealth{} : aOld[static_cast<std::size_t>(it)]);
  }
  return out;
}

ServiceState& StartService(Node& aNode, const Service& aService, TimePoint aNow)
{
  auto& state = aNode.mServices[aService.mName];
  state.mService = aService;
  // Rest until loans of an earlier life are recalled, or have all ended.
  const auto rest = std::max(aNode.mAccepted.mConfiguration.mSlotQuarantine,
                             LongestLoan(aService));
  state.mSlots = MakeSlotTable(
    AssignSlots(aNode.mAccepted.mConfiguration, aService, aNode.mSelf.mEntry),
    aNow + rest);
  state.mHealth.assign(aService.mTargets.size(), TargetHealth{});
  return state;
}

void StartShares(Node& aNode, ServiceState& aState, TimePoint aNow)
{
  const auto& configuration = aNode.mAccepted.mConfiguration;
  const auto& regions = configuration.mRegions;
  std::erase_if(aState.mShares, [&](const auto& aShares) {
    return std::none_of(regions.begin(), regions.end(), [&](const Region& a) {
      return a.mName == aShares.first;
    });
  });
  for (std::size_t n = 0; n < regions.size(); ++n) {
    FitShares(aState.mShares[regions[n].mName], configuration,
              PlannedShares(configuration, aState.mService, n, WallNow()),
              aNow);
  }
}

void UpdateService(Node& aNode, ServiceState& aState, const Service& aNew)
{
  const auto renumbered = Renumbering(aState.mService, aNew);
  aState.mHealth = CarryHealth(aState.mHealth, renumbered);
  ReassignOwned(
    aState.mSlots,
    AssignSlots(aNode.mAccepted.mConfiguration, aNew, aNode.mSelf.mEntry),
    renumbered);
  aState.mService = aNew;
}

void UpdateServices(Node& aNode, TimePoint aNow)
{
  const auto& configuration = aNode.mAccepted.mConfiguration;
  std::erase_if(aNode.mServices, [&](const auto& a) {
    return FindService(configuration, a.first) == nullptr;
  });
  for (const auto& it : configuration.mServices) {
    const auto at = aNode.mServices.find(it.mName);
    if (at == aNode.mServices.end()) {
      StartService(aNode, it, aNow);
    } else {
      UpdateService(aNode, at->second, it);
    }
    StartShares(aNode, aNode.mServices[it.mName], aNow);
  }
}

void UpdateLinks(Node& aNode, TimePoint aNow)
{
  const auto& configuration = aNode.mAccepted.mConfiguration;
  std::map<std::string, LinkBudget> links;
  for (const auto& it : configuration.mLinks) {
    if (it.mFrom != aNode.mSettings.mRegion) {
      continue;
    }
    const auto before = aNode.mLinks.find(it.mTo);
    auto& budget = links[it.mTo];
    if (before == aNode.mLinks.end()) {
      budget = MakeLinkBudget(configuration, it, aNow);
    } else {
      budget = before->second;
      UpdateLinkBudget(budget, configuration, it, aNow);
    }
  }
  aNode.mLinks = std::move(links);
}

/// One entry of each failure domain watches the store: the one with the
/// highest hash among those believed alive.
bool IsWatcher(const Node& aNode, TimePoint aNow)
{
  if (aNode.mAccepted.mVersion == 0) {
    return true;
  }
  const auto own = Hash(aNode.mSelf.mEntry);
  for (const auto& it : aNode.mAccepted.mConfiguration.mEntries) {
    const bool rival =
      it.mFailureDomain == aNode.mSettings.mFailureDomain &&
      it.mName != aNode.mSelf.mEntry &&
      StatusOf(aNode.mView, it.mName, aNow) == MemberStatus::Alive;
    if (rival && Hash(it.mName) > own) {
      return false;
    }
  }
  return true;
}

void TakeObjects(Node& aNode, const StoreResult& aResult)
{
  for (const auto& it : aResult.mObjects) {
    if (it.mKey == kConfigurationKey) {
      Adopt(aNode, it.mVersion, it.mValue, "store");
    }
  }
}

asio::awaitable<StoreResult> AskStore(Node& aNode, bool aWatch)
{
  if (aNode.mBlocked.count(aNode.mStore.mEndpoint.mAddress) > 0) {
    StoreResult out;
    co_return out;
  }
  if (!aWatch) {
    co_return co_await GetObject(aNode.mStore, kConfigurationKey);
  }
  co_return co_await WatchObjects(aNode.mStore, kConfigurationKey,
                                  aNode.mAccepted.mVersion, kWatchWait);
}

} // namespace

bool Adopt(Node& aNode, std::uint64_t aVersion, const std::string& aStored,
           const std::string& aSource)
{
  if (aVersion <= aNode.mAccepted.mVersion) {
    return false;
  }
  Configuration configuration;
  auto problems = FromStored(aStored, configuration);
  if (problems.empty()) {
    problems = Check(configuration);
  }
  if (!problems.empty()) {
    Log(LogLevel::Error, "configuration_rejected",
        { { "version", std::to_string(aVersion) },
          { "source", aSource },
          { "problem", problems.front().Describe() } });
    return false;
  }
  const auto now = Clock::now();
  const bool first = aNode.mAccepted.mVersion == 0;
  aNode.mAccepted = { aVersion, std::move(configuration) };
  aNode.mStored = aStored;
  aNode.mView.mOwnNews.mVersion = aVersion;
  if (first) {
    aNode.mAttempts.mRetention =
      aNode.mAccepted.mConfiguration.mIdentityRetention;
    aNode.mSettledVersion = aVersion;
  }
  SetMembers(aNode.mView, aNode.mAccepted.mConfiguration, now);
  UpdateServices(aNode, now);
  UpdateLinks(aNode, now);
  if (first) {
    asio::co_spawn(aNode.mContext, RecallLoans(aNode), asio::detached);
  }
  Log(LogLevel::Info, "configuration_in_force",
      { { "version", std::to_string(aVersion) }, { "source", aSource } });
  return true;
}

void SettleAssignment(Node& aNode, TimePoint aNow)
{
  if (aNode.mSettledVersion >= aNode.mAccepted.mVersion ||
      !AllHaveVersion(aNode.mView, aNode.mAccepted.mVersion, aNow)) {
    return;
  }
  for (auto& [name, state] : aNode.mServices) {
    SettleOwned(state.mSlots);
  }
  aNode.mSettledVersion = aNode.mAccepted.mVersion;
  Log(LogLevel::Info, "slots_settled",
      { { "version", std::to_string(aNode.mSettledVersion) } });
}

asio::awaitable<void> FollowStore(Node& aNode)
{
  Millis retry = kFirstRetry;
  bool first = true;
  while (!aNode.mStopping) {
    const bool watch = !first && IsWatcher(aNode, Clock::now());
    const auto result = co_await AskStore(aNode, watch);
    if (result.mStatus == StoreStatus::Ok) {
      TakeObjects(aNode, result);
      retry = kFirstRetry;
      first = false;
    } else if (result.mStatus == StoreStatus::NotFound) {
      co_await Sleep(aNode, kFirstRetry);
      continue;
    } else {
      Log(LogLevel::Debug, "store_unavailable",
          { { "error", result.mError.Describe() } });
      co_await Sleep(aNode, retry + Millis(aNode.Random() % 100));
      retry = std::min(retry * 2, kLongestRetry);
      continue;
    }
    // An entry that does not watch learns from peers; it looks again here
    // from time to time, and at once when it becomes the watcher.
    for (Millis waited{ 0 };
         waited < kUnwatchedPoll && !IsWatcher(aNode, Clock::now());
         waited += kUnwatchedStep) {
      co_await Sleep(aNode, kUnwatchedStep);
    }
  }
}

asio::awaitable<void> FollowHostList(Node& aNode)
{
  while (!aNode.mStopping) {
    co_await Sleep(aNode, kHostListPeriod);
    if (!IsWatcher(aNode, Clock::now()) ||
        aNode.mBlocked.count(aNode.mStore.mEndpoint.mAddress) > 0) {
      continue;
    }
    const auto result = co_await ListHosts(aNode.mStore);
    for (const auto& it : result.mObjects) {
      NoteListed(aNode.mView, it.mKey, it.mValue == "leaving");
    }
  }
}

asio::awaitable<void> FetchFrom(Node& aNode, Endpoint aPeer)
{
  const ConfigurationQuestion question{ aNode.mAccepted.mVersion };
  const auto reply = co_await aNode.mPeers.Call(
    aPeer, kConfigurationCall, ToJson(question), kFetchTimeout);
  ConfigurationMessage message;
  if (!reply.mBody || !FromJson(*reply.mBody, message).empty()) {
    co_return;
  }
  Adopt(aNode, message.mVersion, message.mConfiguration, aPeer.Text());
}

} // namespace guavaline::detail
