/// A store that comes back from an older copy of itself: revisions are given
/// out again, and what the entries know is newer than what it says.

#include "adapter.hpp"
#include "cluster/ports.hpp"
#include "entry_fixtures.hpp"
#include "fixtures.hpp"
#include "standin/platform_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <criterion/criterion.h>

#include <algorithm>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

namespace asio = boost::asio;

constexpr const char* kAddress = "127.0.0.1";
/// Ends a wait for what never comes.
constexpr Millis kPatience{ 10'000 };

json::value Configuration(int aVersion)
{
  char version[9];
  std::snprintf(version, sizeof(version), "%08x", aVersion);
  return { { "version", version }, { "resources", json::array{} } };
}

json::value TargetObject(const char* aState, std::int64_t aBorn)
{
  return { { "address", "127.0.0.1:9" },
           { "born", aBorn },
           { "info",
             { { "service", "service" },
               { "zone", "d1" },
               { "version", "v1" },
               { "slots", 3 } } },
           { "status", { { "state", aState } } } };
}

/// Three entries of one region that follow a store.
class Deployment
{
public:
  Deployment()
    : mStoreAt{ kAddress, mPorts.Pick(kAddress) }
  {
    cr_assert(mStore.Listen(kAddress, mStoreAt.mPort).empty());
    Configure(1);
    mStore.Put("servers", "t1", TargetObject("ready", 10));
    for (const auto* name : { "e1", "e2", "e3" }) {
      AddEntry(name);
    }
    cr_assert(Await([](Entry& a) {
      return a.mRouting.mVersion == 1 && a.mRoster.mOthers.size() == 2 &&
             a.mRegistry.mTargets.count("t1") == 1 &&
             a.mFollows[ObjectKind::Evacuations].mView.mListed;
    }));
    // Those that do not watch have heard from the one that does.
    mContext.run_for(1s);
    mStore.KeepCopy();
  }

  void Configure(int aVersion)
  {
    mStore.Put("config", "main", Configuration(aVersion));
  }

  /// Waits until something holds at all entries.
  /// @returns false where it does not in any useful time
  template<class F>
  bool Await(F aHolds)
  {
    const auto end = Clock::now() + kPatience;
    const auto all = [&] {
      return std::all_of(mEntries.begin(), mEntries.end(),
                         [&](const auto& a) { return aHolds(*a); });
    };
    while (!all() && Clock::now() < end) {
      mContext.run_for(20ms);
    }
    return all();
  }

  /// @returns true where something holds at all entries all the time
  template<class F>
  bool Holds(F aHolds, Millis aTime)
  {
    const auto end = Clock::now() + aTime;
    bool out = true;
    while (out && Clock::now() < end) {
      mContext.run_for(20ms);
      out = std::all_of(mEntries.begin(), mEntries.end(),
                        [&](const auto& a) { return aHolds(*a); });
    }
    return out;
  }

  [[nodiscard]] testing::PlatformStore& Store() noexcept { return mStore; }
  [[nodiscard]] Entry& At(std::size_t aEntry) { return *mEntries[aEntry]; }

private:
  void AddEntry(const char* aName)
  {
    auto settings = tests::EntrySettingsOf(aName);
    settings.mAddress = kAddress;
    settings.mPeers = { kAddress, mPorts.Pick(kAddress) };
    settings.mCallers = { kAddress, mPorts.Pick(kAddress) };
    mEntries.push_back(std::make_unique<Entry>(mContext, settings,
                                               platform::MakeAdapter(mAccess)));
    auto& entry = *mEntries.back();
    cr_assert(entry.mCallerServer
                .Listen(mContext, kAddress, settings.mCallers.mPort,
                        [&entry](HttpRequest a) {
                          return ForwardRequest(entry, std::move(a));
                        },
                        {})
                .empty());
    tests::StartPeering(mContext, entry);
    for (const auto it : { ObjectKind::Routing, ObjectKind::Targets,
                           ObjectKind::Evacuations, ObjectKind::Entries }) {
      asio::co_spawn(mContext, FollowObjects(entry, it), asio::detached);
    }
    asio::co_spawn(mContext, KeepRecords(entry), asio::detached);
  }

  asio::io_context mContext{ 1 };
  testing::PortPicker mPorts;
  Endpoint mStoreAt;
  testing::PlatformStore mStore{ mContext, 1 };
  HttpClient mStoreClient{ mContext.get_executor() };
  platform::ObjectStore mAccess{ mStoreClient, mStoreAt };
  std::vector<std::unique_ptr<Entry>> mEntries;
};

bool Serves(Entry& aEntry, const char* aTarget)
{
  const auto it = aEntry.mRegistry.mTargets.find(aTarget);
  return it != aEntry.mRegistry.mTargets.end() &&
         MayServe(aEntry.mRegistry, *it->second, Clock::now());
}

} // namespace

// Guards against entries that take what a restored store says for old news:
// they saw its revisions before, and missed the configuration that came next.
Test(restored_store, the_next_configuration_is_in_force_at_all_entries,
     .timeout = 60)
{
  Deployment deployment;
  deployment.Configure(2);
  deployment.Configure(3);
  cr_assert(
    deployment.Await([](Entry& a) { return a.mRouting.mVersion == 3; }));
  deployment.Store().Restore();
  deployment.Configure(3);
  deployment.Configure(4);
  cr_assert(
    deployment.Await([](Entry& a) { return a.mRouting.mVersion == 4; }));
}

// The same where the counter is past the old revision before anybody looks.
Test(restored_store, a_watch_that_joins_two_histories_is_not_believed,
     .timeout = 60)
{
  Deployment deployment;
  deployment.Store().Put("servers", "t2", TargetObject("ready", 20));
  cr_assert(deployment.Await([](Entry& a) { return Serves(a, "t2"); }));
  // All views get as far, whatever their kind.
  cr_assert(deployment.Await([](Entry& a) {
    return a.mFollows[ObjectKind::Routing].mView.mRevision >=
           a.mFollows[ObjectKind::Targets].mView.mRevision;
  }));
  deployment.Store().Restore();
  deployment.Configure(4);
  for (int n = 0; n < 5; ++n) {
    deployment.Store().Put("other", "x" + std::to_string(n), n);
  }
  cr_assert(
    deployment.Await([](Entry& a) { return a.mRouting.mVersion == 4; }));
}

// Guards against targets that get work again because an old copy lists them.
Test(restored_store, a_target_that_had_left_stays_out, .timeout = 60)
{
  Deployment deployment;
  deployment.Store().Put("servers", "t1", TargetObject("draining", 10));
  deployment.Store().Remove("servers", "t1");
  cr_assert(deployment.Await(
    [](Entry& a) { return a.mRegistry.mTargets.count("t1") == 0; }));
  deployment.Store().Restore();
  cr_assert(deployment.Holds([](Entry& a) { return !Serves(a, "t1"); }, 3s));
  // Its next life serves at once.
  deployment.Store().Put("servers", "t1", TargetObject("ready", 30));
  cr_assert(deployment.Await([](Entry& a) { return Serves(a, "t1"); }));
}

// Guards against an older life of a target that takes the present one's place.
Test(restored_store, a_target_that_had_restarted_keeps_its_life, .timeout = 60)
{
  Deployment deployment;
  deployment.Store().Put("servers", "t1", TargetObject("ready", 30));
  const auto present = [](Entry& a) {
    const auto it = a.mRegistry.mTargets.find("t1");
    return it != a.mRegistry.mTargets.end() &&
           it->second->mRegistration.mStarted == 30;
  };
  cr_assert(deployment.Await(present));
  deployment.Store().Restore();
  cr_assert(deployment.Holds(present, 2s));
}

// Guards against work for an emptied failure domain of which an old copy does
// not know, and against emptying one that had been taken back.
Test(restored_store, evacuations_hold_until_they_are_written_again,
     .timeout = 60)
{
  Deployment deployment;
  const auto emptied = [](Entry& a) {
    return a.mRegistry.mEvacuated.count("d1") == 1;
  };
  const auto serving = [&](Entry& a) { return !emptied(a); };
  deployment.Store().Put("evacuations", "d1", json::object{});
  cr_assert(deployment.Await(emptied));
  deployment.Store().Restore();
  cr_assert(deployment.Holds(emptied, 2s));
  deployment.Store().Put("evacuations", "d1", json::object{});
  cr_assert(deployment.Holds(emptied, 2s));
  deployment.Store().KeepCopy();
  deployment.Store().Remove("evacuations", "d1");
  cr_assert(deployment.Await(serving));
  deployment.Store().Restore();
  cr_assert(deployment.Holds(serving, 2s));
  deployment.Store().Remove("evacuations", "d1");
  cr_assert(deployment.Holds(serving, 1s));
}

// Guards against entries that nobody can call any more: their records were
// written after the copy was made.
Test(restored_store, entries_write_their_records_again, .timeout = 60)
{
  Deployment deployment;
  deployment.Store().Remove("guavaline-entries", "e2");
  deployment.Store().KeepCopy();
  const auto complete = [](Entry& a) { return a.mRoster.mOthers.size() == 2; };
  const auto written = [&deployment](Entry&) {
    return deployment.Store().Has("guavaline-entries", "e2");
  };
  cr_assert(
    deployment.Await([&](Entry& a) { return complete(a) && written(a); }));
  deployment.Store().Restore();
  cr_assert_not(written(deployment.At(0)));
  cr_assert(deployment.Await(written));
  cr_assert(deployment.Holds(complete, 1s));
}
