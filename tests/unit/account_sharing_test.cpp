#include "entry/messages.hpp"

#include "cluster/ports.hpp"
#include "entry_fixtures.hpp"
#include "fixtures.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <criterion/criterion.h>

#include <functional>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;

constexpr const char* kAccount = "a";

asio::awaitable<void> Share(Entry& aEntry)
{
  while (true) {
    ShareAccountLimits(aEntry, Clock::now());
    co_await Pause(aEntry, 20ms);
  }
}

/// Two entries of one region and one of another, which share an account's
/// limit over loopback. Its window is so long that no request leaves it.
class Regions
{
public:
  Regions()
  {
    for (const char* region : { "r1", "r1", "r2" }) {
      const auto name = "e" + std::to_string(mEntries.size());
      auto settings = tests::EntrySettingsOf(name);
      settings.mAddress = "127.0.0.1";
      settings.mPeers = { "127.0.0.1", mPorts.Pick("127.0.0.1") };
      settings.mRegion = region;
      settings.mBounds.mAccountWindow = 600s;
      auto entry =
        std::make_unique<Entry>(mContext, settings, tests::PlainAdapter());
      tests::ServeOneRoute(*entry, RequestKind::Idempotent);
      entry->mFollows[ObjectKind::Entries].mView.mListed = true;
      auto& account = entry->mRouting.mAccounts[kAccount];
      account.mName = kAccount;
      account.mPerSecond = 0.01;
      account.mBurst = 4;
      mEntries.push_back(std::move(entry));
    }
    for (const auto& it : mEntries) {
      for (const auto& other : mEntries) {
        TakeRecord(it->mRoster, other->mRoster.mSelf, Clock::now());
      }
      tests::StartPeering(mContext, *it);
      asio::co_spawn(mContext, Share(*it), asio::detached);
    }
  }

  Entry& At(std::size_t aEntry) { return *mEntries[aEntry]; }
  OthersView View(std::size_t aEntry)
  {
    return ViewOthers(At(aEntry).mAccountLimits, kAccount, Clock::now());
  }
  /// Runs until something holds.
  /// @returns false where it does not within 10 s
  bool RunUntil(const std::function<bool()>& aHolds)
  {
    for (int n = 0; n < 500 && !aHolds(); ++n) {
      mContext.run_for(20ms);
    }
    return aHolds();
  }
  /// Takes requests until one is refused.
  double TakeAll(std::size_t aEntry)
  {
    double out = 0;
    while (!RefusedByAccountLimit(At(aEntry), kAccount, Clock::now())) {
      ++out;
    }
    return out;
  }

private:
  asio::io_context mContext{ 1 };
  testing::PortPicker mPorts;
  std::vector<std::unique_ptr<Entry>> mEntries;
};

} // namespace

// Guards against limits that hold at each entry alone: what one entry admitted
// must count at those of its region and, passed on, at those of another.
Test(account_sharing, entries_of_all_regions_hear_what_one_admitted,
     .timeout = 60)
{
  Regions regions;
  const auto all = [&](const auto& aHolds) {
    return regions.RunUntil([&] {
      return aHolds(regions.View(0)) && aHolds(regions.View(1)) &&
             aHolds(regions.View(2));
    });
  };
  cr_assert(all([](const OthersView& a) { return a.mReserved < 0.01; }));
  const double admitted = regions.TakeAll(0);
  cr_assert_gt(admitted, 0);
  cr_assert(regions.RunUntil([&] {
    return regions.View(1).mAdmitted >= admitted &&
           regions.View(2).mAdmitted >= admitted;
  }));
  double sum = admitted;
  for (std::size_t n = 0; n < 3; ++n) {
    sum += regions.TakeAll(n);
  }
  cr_assert_leq(sum, (0.01 * 600 + 4) * 1.1 + 20);
}

// Guards against an account that keeps a limit which a new configuration
// dropped, and against news that break an entry.
Test(account_sharing, dropped_accounts_and_malformed_news_are_left_out)
{
  Regions regions;
  auto& entry = regions.At(0);
  ShareAccountLimits(entry, Clock::now());
  cr_assert_eq(entry.mAccountLimits.mAccounts.size(), 1U);
  AccountNews news;
  news.mFrom = "e1";
  news.mAccounts = { kAccount };
  news.mAsked = { 1 };
  TakeAccountNews(entry, ToJson(news));
  TakeAccountNews(entry, "[");
  cr_assert_eq(regions.View(0).mAdmitted, 0);
  news.mAdmitted = { 7 };
  TakeAccountNews(entry, ToJson(news));
  cr_assert_eq(regions.View(0).mAdmitted, 7);
  entry.mRouting.mAccounts.clear();
  ShareAccountLimits(entry, Clock::now());
  cr_assert(entry.mAccountLimits.mAccounts.empty());
  cr_assert_not(
    RefusedByAccountLimit(entry, kAccount, Clock::now()).has_value());
}
