#include "entry/crashes.hpp"
#include "entry/messages.hpp"

#include "crash_fleet.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;
using testing::CrashManner;
using tests::Fleet;
using tests::FleetOptions;

namespace {

/// From the rule BUDGET: so long after a request has crashed its third target
/// no more than so many sends of it may reach targets.
constexpr Millis kStabilityWindow{ 4'000 };
constexpr std::ptrdiff_t kMaxLateSends = 3;

/// @returns how many targets crashed later than the rule allows for
std::ptrdiff_t LateCrashes(const std::vector<TimePoint>& aCrashes)
{
  if (aCrashes.size() < 3) {
    return 0;
  }
  const auto bound = aCrashes[2] + kStabilityWindow;
  return std::count_if(aCrashes.begin(), aCrashes.end(),
                       [bound](TimePoint a) { return a > bound; });
}

/// Checks that few sends of a request reach targets late, and that it alone is
/// refused in the end.
void CheckBound(Fleet& aFleet)
{
  const auto late = LateCrashes(aFleet.Crashes());
  cr_assert_leq(late, kMaxLateSends, "%zu targets crashed, %td of them late",
                aFleet.Crashes().size(), late);
  for (std::size_t n = 0; n < aFleet.EntryCount(); ++n) {
    cr_assert_eq(aFleet.SendOne(n, "/crash/1"), 503U);
    cr_assert_eq(aFleet.SendOne(n, "/good/1"), 200U);
  }
}

void CrashThrough(std::size_t aEntries, RequestKind aKind, Millis aGap)
{
  FleetOptions options;
  options.mEntries = aEntries;
  options.mKind = aKind;
  Fleet fleet(options);
  fleet.SendInTurn("/crash/1", aGap, 10s);
  CheckBound(fleet);
}

/// @returns paths of requests that crash no target
std::vector<std::string> PopularRequests(int aCount)
{
  std::vector<std::string> out;
  for (int n = 1; n <= aCount; ++n) {
    out.push_back("/good/" + std::to_string(n));
  }
  return out;
}

/// Sends a request that crashes targets among many others, one in some thirty.
void CrashAmongOthers(CrashManner aManner, RequestKind aKind, bool aMoves)
{
  FleetOptions options;
  options.mTargets = 48;
  options.mDomains = 6;
  options.mKind = aKind;
  options.mManner = aManner;
  options.mDownTime = 3s;
  options.mLapseTime = 4'500ms;
  options.mMoves = aMoves;
  Fleet fleet(options);
  fleet.KeepSending(PopularRequests(48), 7ms, 12s);
  fleet.KeepSending({ "/crash/1" }, 250ms, 12s);
  fleet.Run(14s);
  CheckBound(fleet);
}

/// Crashes targets whose hosts fall silent; they are back at other addresses
/// long after an entry gave up on a connection.
void CrashSilently(CrashManner aManner, RequestKind aKind)
{
  CrashAmongOthers(aManner, aKind, true);
}

EntryRecord RecordIn(const std::string& aName, const std::string& aRegion)
{
  EntryRecord out;
  out.mName = aName;
  out.mRegion = aRegion;
  return out;
}

} // namespace

// Guards against entries that each count a request's crashes alone: each saw
// one or two, and sent it on.
Test(crash_sharing, a_request_is_refused_by_entries_that_never_saw_it,
     .timeout = 60)
{
  // No entry gets it twice within the time.
  CrashThrough(48, RequestKind::NonIdempotent, 220ms);
}

// Guards against attempts that crash two targets each, at entry after entry.
Test(crash_sharing, repeats_of_one_attempt_count_at_all_entries, .timeout = 60)
{
  CrashThrough(32, RequestKind::Idempotent, 120ms);
}

// Guards against a request that comes at all entries at once, among many
// others, and crashes targets that are back after some seconds
// (deploy/days/deadly.toml).
Test(crash_sharing, a_deadly_request_among_many_is_stopped, .timeout = 60)
{
  CrashAmongOthers(CrashManner::Refuses, RequestKind::Idempotent, false);
}

// Guards against crashes that no refused connection and no other life at the
// address shows, since the target's host is gone.
Test(crash_sharing, targets_that_fall_silent_have_crashed, .timeout = 60)
{
  CrashSilently(CrashManner::Silent, RequestKind::Idempotent);
}

// Guards against runs that end with their time limit, since the target's host
// went without closing its connections.
Test(crash_sharing, targets_whose_connections_stay_mute_have_crashed,
     .timeout = 60)
{
  CrashSilently(CrashManner::Mute, RequestKind::NonIdempotent);
}

namespace {

/// Fails four domains of six, one after another, and checks that no request
/// is refused afterwards.
void FailDomains(CrashManner aManner)
{
  FleetOptions options;
  options.mManner = aManner;
  options.mTargets = 36;
  options.mDomains = 6;
  options.mDownTime = 3s;
  options.mSameLife = true;
  options.mMeanRun = 700ms;
  Fleet fleet(options);
  const auto popular = PopularRequests(60);
  fleet.KeepSending(popular, 15ms, 10s);
  for (std::size_t n = 0; n < 4; ++n) {
    fleet.CrashDomain(n, 1s + n * 1'500ms);
  }
  fleet.Run(12'500ms);
  const auto refused = fleet.SendEach(popular)[503];
  cr_assert_eq(refused, 0U, "%zu of %zu refused", refused, popular.size());
}

} // namespace

// Guards against failures of whole domains that are taken for the doing of
// the requests that ran there.
Test(crash_sharing, requests_that_ran_in_failing_domains_are_served_after,
     .timeout = 60)
{
  FailDomains(CrashManner::Refuses);
}

// The same where the hosts of the domain lose power.
Test(crash_sharing, requests_that_ran_in_silent_domains_are_served_after,
     .timeout = 60)
{
  FailDomains(CrashManner::Mute);
}

// Guards against crashes of which only the entries of one region hear.
Test(crash_sharing, each_other_region_is_told_through_one_of_its_entries)
{
  Roster roster;
  roster.mSelf = RecordIn("e1", "r1");
  for (const auto* name : { "e2", "e3" }) {
    TakeRecord(roster, RecordIn(name, "r1"), Clock::now());
  }
  for (const auto* name : { "f1", "f2", "f3" }) {
    TakeRecord(roster, RecordIn(name, "r2"), Clock::now());
  }
  TakeRecord(roster, RecordIn("g1", "r3"), Clock::now());
  for (std::uint64_t draw = 0; draw < 7; ++draw) {
    const auto told = OneOfEachRegion(roster, draw);
    cr_assert_eq(told.size(), 2U);
    cr_assert_eq(told[0].mRegion, "r2");
    cr_assert_eq(told[1].mRegion, "r3");
  }
}

Test(crash_sharing, evidence_survives_its_short_form)
{
  const auto now = Clock::now();
  const CrashEvidence evidence{ { { 0xfedcba9876543210ULL,
                                    0xffffffffffffffffULL, now - 3s, now - 2s },
                                  { 8, 9, now - 1s, now - 1s, true } },
                                { { 7, now - 1s } } };
  CrashMessage message;
  cr_assert(
    FromJson(ToJson(CrashMessage{ PackCrashes(evidence, now), true }), message)
      .empty());
  cr_assert(message.mPassOn);
  const auto heard = UnpackCrashes(message.mNews, now);
  cr_assert(heard);
  cr_assert_eq(heard->mCrashes.size(), 2U);
  cr_assert_not(heard->mCrashes[0].mUncertain);
  cr_assert(heard->mCrashes[1].mUncertain);
  cr_assert_eq(heard->mCrashes[0].mDigest, 0xfedcba9876543210ULL);
  cr_assert_eq(heard->mCrashes[0].mLife, 0xffffffffffffffffULL);
  cr_assert(heard->mCrashes[0].mStarted == now - 3s);
  cr_assert(heard->mCrashes[0].mCrashed == now - 2s);
  cr_assert_eq(heard->mServed.size(), 1U);
  message.mNews.mUncertain->push_back(2);
  cr_assert_not(UnpackCrashes(message.mNews, now));
  message.mNews.mUncertain.reset();
  message.mNews.mLives = { "not hexadecimal" };
  cr_assert_not(UnpackCrashes(message.mNews, now));
  message.mNews.mLives.clear();
  cr_assert_not(UnpackCrashes(message.mNews, now));
}
