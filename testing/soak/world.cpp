#include "soak/world.hpp"

#include "cluster/entry_child.hpp"

#include <guavaline/core/hash.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <future>

namespace guavaline::testing {

namespace json = boost::json;

namespace {

constexpr std::uint16_t kFrontPort = 8161;
constexpr std::uint16_t kFrontProxyPort = 18'161;
constexpr std::uint16_t kStoreProxyPort = 18'169;
constexpr std::uint16_t kLookupPort = 8164;
constexpr std::uint16_t kReadyPort = 8167;
constexpr std::uint16_t kTargetPort = 9'000;
constexpr std::uint16_t kTargetProxyPort = 19'000;
constexpr std::uint16_t kStorePort = 8169;
constexpr LoopbackNets kNets{ 192, 60 };
constexpr unsigned kStoreHost = 254;
constexpr unsigned kFirstTargetHost = 100;
constexpr Millis kSettle{ 1'000 };
const char* const kServices[] = { "alpha", "beta" };
constexpr int kPercent = 100;
/// How targets end under a request that crashes them, by seed; with every
/// fourth seed each in its own way.
constexpr CrashManner kManners[] = { CrashManner::Refuses, CrashManner::Silent,
                                     CrashManner::Mute };
constexpr Millis kCrashDownTime{ 3'000 };
/// The registration of a crashed target goes this long after the crash.
constexpr Millis kCrashLapseTime{ 4'500 };

json::object Resource(const char* aType, const std::string& aName,
                      json::object aSpec)
{
  return { { "resource_type", aType },
           { "metadata", json::object{ { "name", aName } } },
           { "spec", std::move(aSpec) } };
}

json::object Route(const std::string& aName, const char* aKind,
                   const std::string& aService)
{
  return Resource("routes", aName,
                  { { "host", kSoakHost },
                    { "path_prefix", "/" + aName + "/" },
                    { "type", aKind },
                    { "timeout", "2000ms" },
                    { "target_latency", "300ms" },
                    { "priority", 1 },
                    { "service", aService },
                    { "max_attempts", 2 },
                    { "sticky", true },
                    { "allowed_regions", json::array{} } });
}

const char* ReadsAt(std::uint64_t aVersion)
{
  return kServices[aVersion % std::size(kServices)];
}

/// @returns the weight of the first service in the split route, in percent
int FirstWeight(std::uint64_t aVersion)
{
  return aVersion % 2 == 0 ? 80 : 30;
}

json::object SplitRoute(const std::string& aName, int aFirstWeight)
{
  auto out = Route(aName, "idempotent", "");
  auto& spec = out["spec"].as_object();
  spec.erase("service");
  spec["weighted_services"] =
    json::array{ json::object{ { "service", kServices[0] },
                               { "weight", aFirstWeight } },
                 json::object{ { "service", kServices[1] },
                               { "weight", kPercent - aFirstWeight } } };
  return out;
}

json::object MakeConfiguration(std::uint64_t aVersion)
{
  json::array resources{ Route("read", "idempotent", ReadsAt(aVersion)),
                         Route("confirm", "non_idempotent", kServices[0]),
                         Route("upload", "upload", kServices[1]),
                         SplitRoute("split", FirstWeight(aVersion)) };
  for (const auto* it : kServices) {
    resources.push_back(Resource("services", it,
                                 { { "health_path", "/health" },
                                   { "max_connections", 390 },
                                   { "cold_start", "1s" },
                                   { "cold_per_s", 50.0 } }));
  }
  resources.push_back(Resource("limits", "",
                               { { "max_header_bytes", 16384 },
                                 { "max_body_bytes", 1'000'000 },
                                 { "header_timeout", "3000ms" },
                                 { "idle_timeout", "60s" } }));
  char version[9] = {};
  std::snprintf(version, sizeof version, "%08x",
                static_cast<unsigned>(aVersion));
  return { { "version", version }, { "resources", std::move(resources) } };
}

} // namespace

World::World(const WorldOptions& aOptions)
  : mOptions(aOptions)
  , mStore(mContext, aOptions.mSeed)
{
  std::filesystem::create_directories(mOptions.mDirectory);
  mStoreAt = { LoopbackAddress(kNets, kStoreHost), kStorePort };
  MakeEntries();
  MakeTargets();
}

World::~World()
{
  Stop();
}

void World::MakeEntries()
{
  unsigned host = 0;
  for (std::size_t n = 0; n < mOptions.mRegions; ++n) {
    for (std::size_t k = 0; k < mOptions.mEntriesPerRegion; ++k) {
      const auto address = LoopbackAddress(kNets, ++host);
      const auto region = "region" + std::to_string(n + 1);
      mEntries.push_back({ "entry" + std::to_string(host),
                           region,
                           region + (k % 2 == 0 ? "-a" : "-b"),
                           { address, kLookupPort },
                           { address, kFrontPort },
                           { address, kFrontProxyPort } });
      mCallerPaths.push_back(
        std::make_unique<SoakProxy>(mContext, mEntries.back().mFront));
      mStorePaths.push_back(std::make_unique<SoakProxy>(mContext, mStoreAt));
    }
  }
  mChildren.resize(mEntries.size());
}

void World::MakeTargets()
{
  unsigned host = kFirstTargetHost;
  for (std::size_t n = 0; n < mOptions.mRegions; ++n) {
    for (std::size_t k = 0; k < mOptions.mTargetsPerRegion; ++k) {
      TargetPlace place;
      place.mZone =
        "region" + std::to_string(n + 1) + (k % 4 < 2 ? "-a" : "-b");
      place.mListen = { LoopbackAddress(kNets, host), kTargetPort };
      place.mProxyAt = { LoopbackAddress(kNets, host), kTargetProxyPort };
      ++host;
      place.mProxy = std::make_unique<SoakProxy>(mContext, place.mListen);
      place.mTarget = std::make_unique<PlatformTarget>(
        mContext,
        PlatformTargetOptions{ "t" + std::to_string(mNextTarget),
                               kServices[k % std::size(kServices)],
                               place.mListen.mAddress, place.mListen.mPort },
        mHistory, HashPair(mOptions.mSeed, mNextTarget));
      const auto manner = mOptions.mSeed % (std::size(kManners) + 1);
      place.mTarget->SetCrashManner(manner < std::size(kManners)
                                      ? kManners[manner]
                                      : kManners[k % std::size(kManners)]);
      place.mBorn = static_cast<std::int64_t>(mNextTarget++);
      mTargets.push_back(std::move(place));
    }
  }
  for (auto& it : mTargets) {
    it.mTarget->OnCrash([this, &it] { EndByRequest(it); });
  }
}

std::string World::ListenAll()
{
  if (auto problem = mStore.Listen(mStoreAt.mAddress, mStoreAt.mPort);
      !problem.empty()) {
    return problem;
  }
  for (std::size_t n = 0; n < mEntries.size(); ++n) {
    const auto& address = mEntries[n].mFront.mAddress;
    for (const auto& problem :
         { mCallerPaths[n]->Listen(mEntries[n].mProxy),
           mStorePaths[n]->Listen({ address, kStoreProxyPort }) }) {
      if (!problem.empty()) {
        return problem;
      }
    }
  }
  for (auto& it : mTargets) {
    for (const auto& problem :
         { it.mTarget->Start(), it.mProxy->Listen(it.mProxyAt) }) {
      if (!problem.empty()) {
        return problem;
      }
    }
    Register(it, "ready");
  }
  return {};
}

std::string World::Start()
{
  if (auto problem = ListenAll(); !problem.empty()) {
    return problem;
  }
  PutRouting();
  mThread = std::thread([this] {
    const auto work = boost::asio::make_work_guard(mContext);
    mContext.run();
  });
  for (std::size_t n = 0; n < mEntries.size(); ++n) {
    StartEntry(n);
  }
  return {};
}

void World::Stop()
{
  for (auto& it : mChildren) {
    if (it) {
      it->Kill();
    }
  }
  if (!mThread.joinable()) {
    return;
  }
  OnWorld([this] {
    mStore.Close();
    for (auto& it : mTargets) {
      it.mTarget->Crash();
      it.mProxy->Close();
    }
    for (std::size_t n = 0; n < mEntries.size(); ++n) {
      mCallerPaths[n]->Close();
      mStorePaths[n]->Close();
    }
  });
  // Coroutines of cut connections refer to the stand-ins until they end.
  std::this_thread::sleep_for(kSettle);
  mContext.stop();
  mThread.join();
}

void World::OnWorld(const std::function<void()>& aDo)
{
  std::promise<void> done;
  boost::asio::post(mContext, [&] {
    aDo();
    done.set_value();
  });
  done.get_future().wait();
}

std::string World::WriteSettings(std::size_t aEntry) const
{
  const auto& it = mEntries[aEntry];
  const auto& address = it.mFront.mAddress;
  auto path = mOptions.mDirectory + "/" + it.mName + ".conf";
  std::ofstream out(path);
  out << "node=" << it.mName << "\nzone=" << it.mZone
      << "\nregion=" << it.mRegion << "\nip=" << address;
  for (std::size_t n = 0; n < mOptions.mRegions; ++n) {
    const auto region = "region" + std::to_string(n + 1);
    for (const auto* zone : { "-a", "-b" }) {
      out << "\nzones." << region << zone << "=" << region;
    }
  }
  out << "\nlisten.front=" << it.mFront.Text() << "\nlisten.ready=" << address
      << ":" << kReadyPort << "\nlisten.directory=" << it.mLookups.Text()
      << "\ninternal_port_range=7720,7735\nplatform.address=" << address << ":"
      << kStoreProxyPort << "\nlimits.max_fds=1024\nlimits.memory_mb=256\n";
  return path;
}

void World::StartEntry(std::size_t aEntry)
{
  const auto path = WriteSettings(aEntry);
  const auto log = mOptions.mDirectory + "/" + mEntries[aEntry].mName + "-" +
                   std::to_string(NowMicros()) + ".log";
  mChildren[aEntry] = std::make_unique<EntryChild>(mOptions.mProgram, path,
                                                   EntryLog::Output, log);
}

bool World::IsRunning(std::size_t aEntry)
{
  return mChildren[aEntry] && mChildren[aEntry]->IsRunning();
}

void World::Signal(std::size_t aEntry, int aSignal)
{
  if (mChildren[aEntry]) {
    mChildren[aEntry]->Signal(aSignal);
  }
}

bool World::AwaitEnd(std::size_t aEntry, Millis aBound)
{
  return !mChildren[aEntry] || mChildren[aEntry]->AwaitEnd(aBound);
}

void World::SetStore(const PlatformStoreFaults& aFaults)
{
  OnWorld([&] { mStore.SetFaults(aFaults); });
}

void World::DropHistory()
{
  OnWorld([&] { mStore.DropHistory(); });
}

void World::KeepStoreCopy()
{
  OnWorld([&] { mStore.KeepCopy(); });
}

void World::RestoreStore()
{
  OnWorld([&] {
    mStore.Restore();
    mStore.Put("config", "main", MakeConfiguration(mVersion));
    for (auto& it : mTargets) {
      if (*it.mState != '\0') {
        Register(it, it.mState);
      }
    }
    for (const auto& it : mEntries) {
      if (mEvacuated.count(it.mZone) > 0) {
        mStore.Put("evacuations", it.mZone, json::object{});
      } else {
        mStore.Remove("evacuations", it.mZone);
      }
    }
  });
}

void World::LapseTargets()
{
  OnWorld([&] {
    std::set<std::string> living;
    for (const auto& it : mTargets) {
      living.insert(it.mTarget->About().mId);
    }
    for (std::uint64_t n = 0; n < mNextTarget; ++n) {
      const auto id = "t" + std::to_string(n);
      if (living.count(id) == 0) {
        mStore.Remove("servers", id);
      }
    }
  });
}

void World::OnStorePath(std::size_t aEntry,
                        const std::function<void(SoakProxy&)>& aDo)
{
  OnWorld([&] { aDo(*mStorePaths[aEntry]); });
}

void World::OnCallerPath(std::size_t aEntry,
                         const std::function<void(SoakProxy&)>& aDo)
{
  OnWorld([&] { aDo(*mCallerPaths[aEntry]); });
}

void World::OnTargetPath(std::size_t aTarget,
                         const std::function<void(SoakProxy&)>& aDo)
{
  OnWorld([&] { aDo(*mTargets[aTarget].mProxy); });
}

void World::Register(TargetPlace& aPlace, const char* aState)
{
  const auto& about = aPlace.mTarget->About();
  aPlace.mState = aState;
  mStore.Put(
    "servers", about.mId,
    json::object{ { "address", aPlace.mProxyAt.Text() },
                  { "born", aPlace.mBorn },
                  { "info", json::object{ { "service", about.mService },
                                          { "version", "1" },
                                          { "zone", aPlace.mZone },
                                          { "slots", about.mSlots } } },
                  { "status", json::object{ { "state", aState },
                                            { "sequence", ++aPlace.mSequence },
                                            { "cold_remaining", "0ms" } } } });
}

std::string World::TargetId(std::size_t aTarget)
{
  std::string out;
  OnWorld([&] { out = mTargets[aTarget].mTarget->About().mId; });
  return out;
}

void World::CrashTarget(std::size_t aTarget)
{
  OnWorld([&] {
    mTargets[aTarget].mTarget->Crash();
    mTargets[aTarget].mState = "";
  });
}

void World::ReplaceTarget(std::size_t aTarget)
{
  OnWorld([&] {
    auto& place = mTargets[aTarget];
    const auto& about = place.mTarget->About();
    mStore.Remove("servers", about.mId);
    // Its address may go to the other service.
    Revive(place, kServices[mNextTarget % std::size(kServices)]);
  });
}

void World::Revive(TargetPlace& aPlace, std::string aService)
{
  if (!aPlace.mTarget->IsDown()) {
    return;
  }
  aPlace.mTarget->Become("t" + std::to_string(mNextTarget),
                         std::move(aService));
  aPlace.mBorn = static_cast<std::int64_t>(mNextTarget++);
  auto problem = aPlace.mTarget->Start();
  if (problem.empty() && aPlace.mHeldPort) {
    aPlace.mHeldPort.reset();
    problem = aPlace.mProxy->Listen(aPlace.mProxyAt);
  }
  if (problem.empty()) {
    Register(aPlace, "ready");
  } else {
    std::printf("target cannot restart: %s\n", problem.c_str());
  }
}

void World::EndByRequest(TargetPlace& aPlace)
{
  const auto& about = aPlace.mTarget->About();
  const auto now = NowMicros();
  mCrashed.push_back(
    { about.mId, now,
      now + std::chrono::microseconds(kCrashDownTime).count() });
  aPlace.mState = "";
  if (aPlace.mTarget->Manner() == CrashManner::Mute) {
    aPlace.mProxy->StopListening();
    aPlace.mProxy->SilenceAll();
  } else {
    aPlace.mProxy->Close();
  }
  const auto manner = aPlace.mTarget->Manner() == CrashManner::Refuses
                        ? PortManner::Refuses
                        : PortManner::Silent;
  aPlace.mHeldPort.reset();
  aPlace.mHeldPort = std::make_unique<HeldPort>(
    mContext, aPlace.mProxyAt.mAddress, aPlace.mProxyAt.mPort, manner);
  boost::asio::co_spawn(mContext, ComeBack(aPlace, about.mId),
                        boost::asio::detached);
}

boost::asio::awaitable<void> World::ComeBack(TargetPlace& aPlace,
                                             std::string aOld)
{
  const std::string service = aPlace.mTarget->About().mService;
  boost::asio::steady_timer timer(mContext, kCrashDownTime);
  co_await timer.async_wait(boost::asio::use_awaitable);
  Revive(aPlace, service);
  timer.expires_after(kCrashLapseTime - kCrashDownTime);
  co_await timer.async_wait(boost::asio::use_awaitable);
  mStore.Remove("servers", aOld);
}

void World::DrainTarget(std::size_t aTarget)
{
  OnWorld([&] {
    Register(mTargets[aTarget], "draining");
    Event event;
    event.mKind = EventKind::TargetLeaving;
    event.mPeer = mTargets[aTarget].mTarget->About().mId;
    mHistory.Add(std::move(event));
  });
}

void World::SlowTarget(std::size_t aTarget, double aFactor)
{
  OnWorld([&] { mTargets[aTarget].mTarget->SetSlow(aFactor); });
}

void World::LimitTarget(std::size_t aTarget, double aPerSecond)
{
  OnWorld([&] {
    auto& target = *mTargets[aTarget].mTarget;
    target.SetLimit(aPerSecond);
    Event event;
    event.mKind = EventKind::TargetLimited;
    event.mPeer = target.About().mId;
    event.mPerSecond = aPerSecond;
    mHistory.Add(std::move(event));
  });
}

void World::CopyRefusals(bool aOn)
{
  OnWorld([&] {
    // An entry tries a refused request once more in its region.
    const auto region = mOptions.mSeed % mOptions.mRegions;
    for (std::size_t n = 0; n < mOptions.mTargetsPerRegion; ++n) {
      const auto at = region * mOptions.mTargetsPerRegion + n;
      mTargets[at].mTarget->SetRefusesFirst(aOn, mOptions.mSeed);
      mTargets[at].mProxy->SetCopies(aOn, HashPair(mOptions.mSeed, at));
    }
  });
}

CopyCounts World::Copies() const
{
  CopyCounts out;
  for (const auto& it : mTargets) {
    out.mMet += it.mProxy->Copies().mMet;
    out.mOthers += it.mProxy->Copies().mOthers;
  }
  return out;
}

void World::PutRouting()
{
  mStore.Put("config", "main", MakeConfiguration(mVersion));
  Event event;
  event.mKind = EventKind::ConfigurationAccepted;
  event.mVersion = static_cast<std::int64_t>(mVersion);
  event.mService = ReadsAt(mVersion);
  mHistory.Add(event);
  event.mClass = kSplitMethod;
  event.mService = kServices[0];
  event.mWeight = FirstWeight(mVersion);
  mHistory.Add(std::move(event));
}

void World::ChangeRouting()
{
  OnWorld([this] {
    ++mVersion;
    PutRouting();
  });
}

void World::Evacuate(const std::string& aZone, bool aEmptied)
{
  OnWorld([&] {
    if (aEmptied) {
      mEvacuated.insert(aZone);
      mStore.Put("evacuations", aZone, json::object{});
    } else {
      mEvacuated.erase(aZone);
      mStore.Remove("evacuations", aZone);
    }
  });
}

std::string World::ZoneOf(std::size_t aEntry) const
{
  return mEntries[aEntry].mZone;
}

} // namespace guavaline::testing
