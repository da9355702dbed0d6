#pragma once

/// Three entries of one region that follow a stand-in of the platform's store.

#include "adapter.hpp"
#include "cluster/ports.hpp"
#include "entry_fixtures.hpp"
#include "fixtures.hpp"
#include "standin/platform_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <criterion/criterion.h>

#include <algorithm>

namespace guavaline::tests {

/// @returns an object of a configuration without routes
boost::json::value ConfigurationObject(int aVersion);

/// @returns an object of a target of "service" in failure domain "d1"
boost::json::value TargetObject(const char* aState, std::int64_t aBorn);

/// @returns true where new work may go to a target
bool Serves(detail::Entry& aEntry, const char* aTarget);

/// Ends a wait for what never comes.
inline constexpr Millis kPatience{ 10'000 };
inline constexpr const char* kLoopback = "127.0.0.1";

class FollowingEntries
{
public:
  FollowingEntries()
    : mStoreAt{ kLoopback, mPorts.Pick(kLoopback) }
  {
    cr_assert(mStore.Listen(kLoopback, mStoreAt.mPort).empty());
    Configure(1);
    mStore.Put("servers", "t1", TargetObject("ready", 10));
    for (const auto* name : { "e1", "e2", "e3" }) {
      StartEntry(name);
    }
    cr_assert(Await([](detail::Entry& a) {
      return a.mRouting.mVersion == 1 && a.mRoster.mOthers.size() == 2 &&
             a.mRegistry.mTargets.count("t1") == 1 &&
             a.mFollows[detail::ObjectKind::Evacuations].mView.mListed;
    }));
    // Those that do not watch have heard from the one that does.
    mContext.run_for(Millis(1'000));
    mStore.KeepCopy();
  }

  void Configure(int aVersion)
  {
    mStore.Put("config", "main", ConfigurationObject(aVersion));
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
      mContext.run_for(Millis(20));
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
      mContext.run_for(Millis(20));
      out = std::all_of(mEntries.begin(), mEntries.end(),
                        [&](const auto& a) { return aHolds(*a); });
    }
    return out;
  }

  [[nodiscard]] testing::PlatformStore& Store() noexcept { return mStore; }
  [[nodiscard]] detail::Entry& At(std::size_t aEntry)
  {
    return *mEntries[aEntry];
  }

private:
  void StartEntry(const char* aName)
  {
    auto settings = tests::EntrySettingsOf(aName);
    settings.mAddress = kLoopback;
    settings.mPeers = { kLoopback, mPorts.Pick(kLoopback) };
    settings.mCallers = { kLoopback, mPorts.Pick(kLoopback) };
    mEntries.push_back(std::make_unique<detail::Entry>(
      mContext, settings, platform::MakeAdapter(mAccess)));
    auto& entry = *mEntries.back();
    cr_assert(entry.mCallerServer
                .Listen(mContext, kLoopback, settings.mCallers.mPort,
                        [&entry](detail::HttpRequest a) {
                          return ForwardRequest(entry, std::move(a));
                        },
                        {})
                .empty());
    tests::StartPeering(mContext, entry);
    for (const auto it :
         { detail::ObjectKind::Routing, detail::ObjectKind::Targets,
           detail::ObjectKind::Evacuations, detail::ObjectKind::Entries }) {
      boost::asio::co_spawn(mContext, FollowObjects(entry, it),
                            boost::asio::detached);
    }
    boost::asio::co_spawn(mContext, KeepRecords(entry), boost::asio::detached);
  }

  boost::asio::io_context mContext{ 1 };
  testing::PortPicker mPorts;
  detail::Endpoint mStoreAt;
  testing::PlatformStore mStore{ mContext, 1 };
  detail::HttpClient mStoreClient{ mContext.get_executor() };
  platform::ObjectStore mAccess{ mStoreClient, mStoreAt };
  std::vector<std::unique_ptr<detail::Entry>> mEntries;
};

} // namespace guavaline::tests
