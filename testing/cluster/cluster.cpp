#include "cluster/cluster.hpp"

#include "cluster/entry_child.hpp"
#include "daemon/settings.hpp"
#include "daemon/status_wire.hpp"

#include <guavaline/configuration/questionnaire.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <future>
#include <unistd.h>

namespace guavaline::testing {

namespace {

constexpr const char* kKey = "cluster-test-key-0123456789";
constexpr Millis kAskTimeout{ 2'000 };
constexpr Millis kPoll{ 50 };
constexpr Millis kStartBound{ 60'000 };
constexpr Seconds kExitBound{ 60 };
constexpr LoopbackNets kNets{ 64, 128 };
constexpr unsigned kStoreHost = 250;
constexpr unsigned kTargetHost = 200;

/// Tells what could not be started.
bool Started(const std::string& aName, const std::string& aProblem)
{
  if (!aProblem.empty()) {
    std::printf("violation: no start: %s: %s\n", aName.c_str(),
                aProblem.c_str());
  }
  return aProblem.empty();
}

std::string RegionName(std::size_t aIndex)
{
  return "region" + std::to_string(aIndex + 1);
}

} // namespace

void Pause(Millis aTime)
{
  std::this_thread::sleep_for(aTime);
}

Cluster::Cluster(const ClusterOptions& aOptions)
  : mOptions(aOptions)
  , mDirectory(
      std::filesystem::temp_directory_path() /
      ("guavaline-" + aOptions.mName + "-" + std::to_string(::getpid())))
  , mStore(std::make_unique<StoreStandin>(mContext))
{
  std::filesystem::create_directories(mDirectory);
  mAccepted.mConfiguration = MakeConfiguration();
  mStoreEndpoint = { LoopbackAddress(kNets, kStoreHost), 0 };
  mStoreEndpoint.mPort = mPorts.Pick(mStoreEndpoint.mAddress);
}

Cluster::~Cluster()
{
  for (auto& [name, entry] : mEntries) {
    if (entry) {
      entry->Kill();
    }
  }
  for (auto& it : mLoads) {
    if (it.joinable()) {
      it.join();
    }
  }
  mContext.stop();
  if (mStandins.joinable()) {
    mStandins.join();
  }
  std::error_code ec;
  std::filesystem::remove_all(mDirectory, ec);
}

Configuration Cluster::MakeConfiguration()
{
  Answers answers;
  answers.mDeployment = "test";
  answers.mBetweenRegions = { mOptions.mRegionDelay, BitRate{ 1'000'000'000 } };
  ServiceAnswer service;
  service.mName = "orders";
  service.mSlotsPerTarget = mOptions.mSlots;
  service.mShiftPercentPerMinute = mOptions.mShiftCapPercent;
  unsigned host = 0;
  for (std::size_t n = 0; n < mOptions.mRegions; ++n) {
    Region region{ RegionName(n), {} };
    for (std::size_t k = 0; k < mOptions.mDomainsPerRegion; ++k) {
      const auto domain = region.mName + static_cast<char>('a' + k);
      region.mFailureDomains.push_back(domain);
      for (std::size_t e = 0; e < mOptions.mEntriesPerDomain; ++e) {
        const auto address = LoopbackAddress(kNets, ++host);
        answers.mEntries.push_back({ domain + std::to_string(e + 1), address,
                                     mPorts.Pick(address), mPorts.Pick(address),
                                     region.mName, domain });
      }
      TargetGroup group;
      group.mRegion = region.mName;
      group.mFailureDomain = domain;
      group.mCount = static_cast<std::uint32_t>(mOptions.mTargetsPerDomain);
      group.mAddress =
        LoopbackAddress(kNets, kTargetHost + static_cast<unsigned>(n * 8 + k));
      group.mFirstPort = 20'000;
      service.mTargetGroups.push_back(std::move(group));
    }
    answers.mRegions.push_back(std::move(region));
  }
  answers.mServices.push_back(std::move(service));
  auto out = Generate(answers);
  out.mLookupTtl = mOptions.mLookupTtl;
  out.mSlotQuarantine = mOptions.mSlotQuarantine;
  for (auto& it : out.mServices) {
    it.mShiftCapWindow = mOptions.mShiftCapWindow;
    for (auto& target : it.mTargets) {
      target.mPort = mPorts.Pick(target.mAddress);
    }
  }
  out.mChangeId = ContentId(out);
  return out;
}

const Configuration& Cluster::Accepted() const
{
  return mAccepted.mConfiguration;
}

detail::OperatorTarget Cluster::Operator() const
{
  detail::OperatorTarget out;
  out.mStore = mStoreEndpoint;
  out.mKey = kKey;
  out.mTimeout = kAskTimeout;
  return out;
}

void Cluster::OnStandins(const std::function<void()>& aDo)
{
  std::promise<void> done;
  boost::asio::post(mContext, [&] {
    aDo();
    done.set_value();
  });
  done.get_future().wait();
}

std::vector<std::string> Cluster::EntryNames() const
{
  std::vector<std::string> out;
  for (const auto& it : mAccepted.mConfiguration.mEntries) {
    out.push_back(it.mName);
  }
  return out;
}

bool Cluster::Start()
{
  if (!Started("store",
               mStore->Listen(mStoreEndpoint.mAddress, mStoreEndpoint.mPort))) {
    return false;
  }
  auto seed = mOptions.mSeed * 1'000;
  for (const auto& service : mAccepted.mConfiguration.mServices) {
    for (const auto& it : service.mTargets) {
      std::map<std::string, Millis> delays;
      for (const auto& link : mAccepted.mConfiguration.mLinks) {
        if (link.mTo == it.mRegion) {
          delays[link.mFrom] = link.mDelay;
        }
      }
      mTargets.push_back(std::make_unique<TargetStandin>(
        mContext, service.mName, it, std::move(delays), mHistory, ++seed));
      mTargets.back()->Behaviour().mMeanServiceMs = mOptions.mMeanMs;
      if (!Started(it.mName, mTargets.back()->Start())) {
        return false;
      }
    }
  }
  mStandins = std::thread([this] {
    const auto work = boost::asio::make_work_guard(mContext);
    mContext.run();
  });
  for (const auto& it : EntryNames()) {
    StartEntry(it);
  }
  const auto version = Change(mAccepted.mConfiguration, false);
  if (version == 0 || !AwaitVersion(EntryNames(), version, kStartBound)) {
    std::printf("violation: no start: version %lu is not in force everywhere\n",
                version);
    return false;
  }
  // The slots rest after a start, and entries must have heard of each other.
  Pause(mOptions.mSlotQuarantine + Millis(2'000));
  return true;
}

void Cluster::StartEntry(const std::string& aName)
{
  const auto* entry = FindEntry(mAccepted.mConfiguration, aName);
  detail::Settings settings;
  settings.mName = aName;
  settings.mAddress = entry->mAddress;
  settings.mPort = entry->mPort;
  settings.mPeerPort = entry->mPeerPort;
  settings.mRegion = entry->mRegion;
  settings.mFailureDomain = entry->mFailureDomain;
  settings.mStore = mStoreEndpoint.Text();
  settings.mKey = kKey;
  settings.mFaultInjection = true;
  for (const auto& it : mAccepted.mConfiguration.mEntries) {
    if (it.mName != aName) {
      settings.mSeeds.push_back(it.mAddress + ":" +
                                std::to_string(it.mPeerPort));
    }
  }
  const auto path = mDirectory + "/" + aName + ".yaml";
  std::ofstream(path) << detail::SettingsYaml(settings);
  mEntries[aName] = std::make_unique<EntryChild>(
    GUAVALINED_PATH, path, EntryLog::Errors, mDirectory + "/" + aName + ".log");
}

void Cluster::KillEntry(const std::string& aName)
{
  mEntries[aName]->Kill();
}

void Cluster::PauseEntry(const std::string& aName)
{
  mEntries[aName]->Signal(SIGSTOP);
}

void Cluster::ResumeEntry(const std::string& aName)
{
  mEntries[aName]->Signal(SIGCONT);
}

void Cluster::StopEntry(const std::string& aName)
{
  Event event;
  event.mKind = EventKind::StopPlanned;
  event.mPeer = aName;
  mHistory.Add(std::move(event));
  mEntries[aName]->Signal(SIGTERM);
}

int Cluster::AwaitExit(const std::string& aName)
{
  auto& entry = *mEntries[aName];
  return entry.AwaitEnd(kExitBound) ? entry.ExitCode() : -1;
}

detail::HttpResponse Cluster::AskEntry(const std::string& aName,
                                       detail::HttpRequest aRequest)
{
  const auto* entry = FindEntry(mAccepted.mConfiguration, aName);
  aRequest.mHeaders.push_back(
    { "Authorization", std::string("Bearer ") + kKey });
  const auto result = detail::ExchangeNow({ entry->mAddress, entry->mPort },
                                          aRequest, kAskTimeout);
  detail::HttpResponse none;
  none.mStatus = 0;
  return result.mResponse.value_or(none);
}

void Cluster::Block(const std::string& aName,
                    const std::vector<std::string>& aOthers)
{
  detail::HttpRequest request;
  request.mMethod = "POST";
  std::string list;
  for (const auto& it : aOthers) {
    const auto* entry = FindEntry(mAccepted.mConfiguration, it);
    list += (list.empty() ? "" : ",") +
            (entry != nullptr ? entry->mAddress : mStoreEndpoint.mAddress);
  }
  request.mTarget = "/v1/faults?block=" + list;
  (void)AskEntry(aName, std::move(request));
}

void Cluster::SetStore(const StoreFaults& aFaults)
{
  OnStandins([&] { mStore->SetFaults(aFaults); });
}

std::uint64_t Cluster::StoreCalls()
{
  std::uint64_t out = 0;
  OnStandins([&] { out = mStore->Calls(); });
  return out;
}

void Cluster::EachTarget(const std::string& aRegion,
                         const std::function<void(TargetStandin&)>& aDo)
{
  OnStandins([&] {
    for (auto& it : mTargets) {
      if (aRegion.empty() || it->About().mRegion == aRegion) {
        aDo(*it);
      }
    }
  });
}

std::uint64_t Cluster::Change(const Configuration& aNew, bool aPush)
{
  const auto version = detail::leaf::try_handle_all(
    [&]() -> detail::leaf::result<std::uint64_t> {
      BOOST_LEAF_AUTO(base, detail::ReadAccepted(Operator()));
      BOOST_LEAF_AUTO(applied, detail::Apply(Operator(), base, aNew));
      return applied.mVersion;
    },
    [] { return std::uint64_t{ 0 }; });
  if (version > 0) {
    mAccepted = { version, aNew };
    if (aPush) {
      (void)detail::PushToEntries(Operator(), mAccepted);
    }
  }
  return version;
}

std::optional<std::uint64_t> Cluster::VersionAt(const std::string& aName)
{
  detail::HttpRequest request;
  request.mTarget = "/v1/status";
  const auto response = AskEntry(aName, std::move(request));
  detail::NodeStatus status;
  if (response.mStatus != 200 ||
      !detail::FromJson(response.mBody, status).empty()) {
    return std::nullopt;
  }
  Event event;
  event.mKind = EventKind::ConfigurationSeen;
  event.mPeer = aName + "/" + status.mIncarnation;
  event.mVersion = static_cast<std::int64_t>(status.mVersion);
  mHistory.Add(std::move(event));
  return status.mVersion;
}

bool Cluster::AwaitVersion(const std::vector<std::string>& aEntries,
                           std::uint64_t aVersion, Millis aBound)
{
  const auto end = Clock::now() + aBound;
  for (const auto& it : aEntries) {
    while (VersionAt(it).value_or(0) < aVersion) {
      if (Clock::now() >= end) {
        return false;
      }
      Pause(kPoll);
    }
  }
  return true;
}

LoadPlan Cluster::Plan(double aUtilization, Millis aDuration) const
{
  LoadPlan out;
  for (const auto& it : mAccepted.mConfiguration.mEntries) {
    out.mEntries.push_back({ it.mAddress, it.mPort });
  }
  out.mStreams =
    StreamsFor(mAccepted.mConfiguration, aUtilization, mOptions.mMeanMs);
  out.mDuration = aDuration;
  out.mSeed = mOptions.mSeed;
  return out;
}

void Cluster::StartLoad(const LoadPlan& aPlan)
{
  mLoads.emplace_back([this, aPlan] {
    boost::asio::io_context context(1);
    boost::asio::co_spawn(context, RunLoad(context, aPlan, mHistory),
                          boost::asio::detached);
    context.run();
  });
}

void Cluster::AwaitLoad()
{
  for (auto& it : mLoads) {
    it.join();
  }
  mLoads.clear();
}

std::vector<std::string> Cluster::Violations(const CheckOptions& aOptions)
{
  auto events = mHistory.Copy();
  SortEvents(events);
  auto options = aOptions;
  options.mConfiguration = mAccepted.mConfiguration;
  return CheckHistory(events, options);
}

} // namespace guavaline::testing
