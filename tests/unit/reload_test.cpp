#include "entry/entry.hpp"

#include "fixtures.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <criterion/criterion.h>

#include <csignal>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;

/// An entry whose settings on file can be changed.
struct Bed
{
  asio::io_context mContext{ 1 };
  EntrySettings mOnFile = tests::EntrySettingsOf("e1");
  Problems mProblems;
  int mReads = 0;
  Entry mEntry;

  Bed()
    : mEntry(mContext, tests::EntrySettingsOf("e1"), MakeAdapter())
  {
    cr_assert(mEntry.mCallerServer
                .Listen(mContext, "127.0.0.1", 0,
                        [](HttpRequest) -> asio::awaitable<HttpResponse> {
                          co_return HttpResponse{};
                        },
                        {})
                .empty());
  }

  PlatformAdapter MakeAdapter()
  {
    PlatformAdapter out;
    out.mReadSettings = [this](EntrySettings& a) {
      ++mReads;
      a = mOnFile;
      return mProblems;
    };
    return out;
  }

  /// Raises SIGHUP and runs the event loop until the settings were read.
  void HangUp()
  {
    asio::co_spawn(mContext, AwaitReload(mEntry), asio::detached);
    asio::post(mContext, [] { std::raise(SIGHUP); });
    while (mReads == 0) {
      mContext.run_one();
    }
  }
};

} // namespace

Test(reload, bounds_and_domains_change_while_the_entry_runs)
{
  Bed bed;
  Registration target;
  target.mId = "t1";
  target.mService = "s";
  target.mAddress = "127.0.0.1:1";
  target.mFailureDomain = "d2";
  target.mSlots = 1;
  TakeRegistration(bed.mEntry.mRegistry, target, Clock::now());
  cr_assert(bed.mEntry.mRegistry.mTargets.at("t1")->mRegion.empty());
  bed.mOnFile.mBounds.mMaxShift = 0.05;
  bed.mOnFile.mBounds.mTargetAge = 1s;
  bed.mOnFile.mDomains["d2"] = "r2";
  bed.HangUp();
  cr_assert_eq(bed.mEntry.mRegionShare.mMaxShift, 0.05);
  cr_assert(bed.mEntry.mSettings.mBounds.mTargetAge == 1s);
  cr_assert_eq(bed.mEntry.mRegistry.mTargets.at("t1")->mRegion, "r2");
}

Test(reload, settings_with_mistakes_leave_those_in_force)
{
  Bed bed;
  bed.mOnFile.mBounds.mMaxShift = 0.05;
  bed.mProblems = { { "node.conf", 3, "bounds.drain", "soon", "a time" } };
  bed.HangUp();
  cr_assert_eq(bed.mEntry.mSettings.mBounds.mMaxShift, 0.15);
}

Test(reload, a_smaller_retry_bound_takes_savings_away_and_a_larger_adds_none)
{
  Bed bed;
  RetryBudget& budget = bed.mEntry.mRetries["s"];
  SetRetryBounds(bed.mEntry, budget);
  budget.mTokens = budget.mMost;
  const double before = budget.mTokens;
  auto settings = tests::EntrySettingsOf("e1");
  settings.mBounds.mRetrySlack = 6;
  cr_assert(TakeSettings(bed.mEntry, settings));
  cr_assert_lt(budget.mTokens, before);
  const double small = budget.mTokens;
  settings.mBounds.mRetrySlack = 640;
  cr_assert(TakeSettings(bed.mEntry, settings));
  cr_assert_eq(budget.mTokens, small);
  cr_assert_not(TakeSettings(bed.mEntry, settings));
}

Test(reload, what_holds_for_the_life_of_a_process_does_not_change)
{
  Bed bed;
  bed.mOnFile.mName = "other";
  bed.mOnFile.mStore = { "10.0.0.1", 80 };
  bed.HangUp();
  cr_assert_eq(bed.mEntry.mSettings.mName, "e1");
  cr_assert_eq(bed.mEntry.mSettings.mStore.mPort, 0U);
}
