#include "operator/where.hpp"

#include "entry/entry.hpp"
#include "entry/rate_limits.hpp"
#include "entry_fixtures.hpp"
#include "fixtures.hpp"

#include <guavaline/core/hash.hpp>

#include <boost/asio/co_spawn.hpp>

#include <criterion/criterion.h>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;

namespace {

/// An entry with two targets that no request ever reaches.
struct Bed
{
  boost::asio::io_context mContext{ 1 };
  Entry mEntry{ mContext, tests::EntrySettingsOf("e1"), tests::PlainAdapter() };

  Bed()
  {
    tests::ServeOneRoute(mEntry, RequestKind::Idempotent);
    for (const auto* it : { "t1", "t2" }) {
      TakeRegistration(mEntry.mRegistry, tests::TargetAt(it, "127.0.0.1:1"),
                       Clock::now());
    }
  }

  LiveTarget& Target(const std::string& aId)
  {
    return *mEntry.mRegistry.mTargets.at(aId);
  }

  std::string Ask(WhereQuestion aQuestion = {}, unsigned aStatus = 200)
  {
    if (aQuestion.mHost.empty()) {
      aQuestion.mHost = "a.example";
      aQuestion.mPath = "/x/1";
    }
    HttpRequest request;
    request.mTarget = WhereTarget(aQuestion);
    const auto out = AnswerWhere(mEntry, request, Clock::now());
    cr_assert_eq(out.mStatus, aStatus, "%s", out.mBody.c_str());
    return out.mBody;
  }

  std::string AskMetrics(const std::string& aTarget)
  {
    HttpRequest request;
    request.mTarget = aTarget;
    std::string out;
    boost::asio::co_spawn(
      mContext, AnswerMetrics(mEntry, std::move(request)),
      [&](const std::exception_ptr&, const HttpResponse& a) { out = a.mBody; });
    mContext.restart();
    mContext.run();
    return out;
  }
};

bool Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

WhereQuestion About(const std::string& aObject,
                    const std::string& aAccount = "",
                    const std::string& aLimit = "")
{
  return { "", "a.example", "/x/1", aObject, aAccount, aLimit };
}

} // namespace

Test(where, it_names_the_choice_and_the_candidates_before_it)
{
  Bed bed;
  const auto key = Hash("o1", Hash("/x/"));
  NoteServed(bed.mEntry.mWarm, WarmId(key, bed.Target("t2").mLife),
             Clock::now());
  const auto out = bed.Ask(About("o1"));
  cr_assert(Has(out, "route: route (a.example/x/)"), "%s", out.c_str());
  cr_assert(Has(out, "service: service, object o1, time limit 1000 ms"));
  cr_assert(Has(out, "candidate: t2, region "));
  cr_assert(Has(out, "warm known"));
  cr_assert(Has(out, "candidate: t1"));
  cr_assert(Has(out, "choice: t2\n"), "%s", out.c_str());
}

// Guards against a question that changes what real requests meet.
Test(where, it_changes_nothing_that_the_entry_knows)
{
  Bed bed;
  auto& entry = bed.mEntry;
  entry.mRouting.mRoutes[0].mServices = { { "service", 1 }, { "other", 1 } };
  const auto random = entry.mRandom;
  const auto share = entry.mRegionShare;
  for (int n = 0; n < 10; ++n) {
    (void)bed.Ask(About("o" + std::to_string(n)));
  }
  cr_assert(entry.mRoutes.empty());
  cr_assert(entry.mRetries.empty());
  cr_assert(entry.mWarm.mServed.empty());
  cr_assert(entry.mCrashTable.mRecords.empty());
  cr_assert(entry.mRandom == random);
  cr_assert_eq(entry.mTaken, 0U);
  cr_assert_eq(entry.mRegionShare.mTokens, share.mTokens);
  cr_assert_eq(entry.mRegionShare.mPerWindow, share.mPerWindow);
  cr_assert(entry.mRegionShare.mUpdated == share.mUpdated);
  for (const auto* it : { "t1", "t2" }) {
    cr_assert(bed.Target(it).mLoad.mLastSend == TimePoint{});
    cr_assert_eq(bed.Target(it).mLoad.mOwn, 0U);
    cr_assert_eq(bed.Target(it).mLimit.mSent, 0U);
  }
  cr_assert_eq(entry.mMetrics.Text(), Metrics().Text());
}

Test(where, it_names_the_reason_of_a_rejection)
{
  Bed bed;
  cr_assert(Has(bed.Ask(About("o1", "", "1")), "rejected: too_late"));
  cr_assert(Has(bed.Ask({ "", "b.example", "/x/1" }), "rejected: no_route"));
  for (const auto* it : { "t1", "t2" }) {
    NotePause(bed.Target(it), 5s, 0, Clock::now());
  }
  const auto out = bed.Ask(About("o1"));
  cr_assert(Has(out, "targets: 2, 2 paused"), "%s", out.c_str());
  cr_assert(Has(out, "rejected: paused, retry after "));
  bed.mEntry.mRegistry = {};
  cr_assert(Has(bed.Ask(About("o1")), "rejected: no_target"));
  bed.mEntry.mRouting.mVersion = 0;
  cr_assert(Has(bed.Ask(About("o1")), "rejected: not_ready"));
}

// Guards against keys in what operators pass around.
Test(where, an_account_shows_its_limits_and_no_key)
{
  Bed bed;
  ClientAccount account;
  account.mName = "mill";
  account.mKeys = { "secret-key" };
  account.mPriority = 4;
  account.mPerSecond = 20;
  account.mBurst = 5;
  account.mRegions = { "far" };
  bed.mEntry.mRouting.mAccounts["mill"] = account;
  auto out = bed.Ask(About("o1", "mill"));
  cr_assert(Has(out, "account: mill, priority 4, limit 20.0 requests/s and a "
                     "burst of 5.0, regions far"),
            "%s", out.c_str());
  cr_assert(Has(out, "in another region"));
  cr_assert_not(Has(out, "secret-key"));
  bed.mEntry.mRouting.mRoutes[0].mRegions = { "near" };
  cr_assert(Has(bed.Ask(About("o1", "mill")), "rejected: no_region"));
  out = bed.Ask(About("o1", "nobody\n"));
  cr_assert(Has(out, "account: nobody? is not known\nrejected: unknown_key"),
            "%s", out.c_str());
}

// Guards against metrics that a question takes the place of.
Test(where, it_is_asked_at_the_port_of_the_metrics)
{
  Bed bed;
  bed.mEntry.mMetrics.Count("lookups", "region=\"r1\"");
  cr_assert(Has(bed.AskMetrics(WhereTarget(About("o1"))), "choice: "));
  cr_assert(Has(bed.AskMetrics("/metrics"), "lookups_total"));
}

Test(where, a_question_that_cannot_be_read_is_refused)
{
  Bed bed;
  (void)bed.Ask({ "", "a.example", "" }, 400);
  (void)bed.Ask(About("o1", "", "soon"), 400);
}
