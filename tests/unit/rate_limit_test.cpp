#include <guavaline/core/hash.hpp>
#include <guavaline/placement/rate_limit.hpp>
#include <guavaline/roster/roster.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <random>
#include <set>
#include <vector>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };

/// A roster of e0, e1, ... in region "a", of which each serves.
Roster MakeRoster(std::size_t aSelf, std::size_t aEntries)
{
  Roster out;
  for (std::size_t n = 0; n < aEntries; ++n) {
    EntryRecord record;
    record.mName = "e" + std::to_string(n);
    record.mIncarnation = n + 1;
    record.mRegion = "a";
    if (n == aSelf) {
      out.mSelf = record;
    } else {
      TakeRecord(out, record, kNow);
    }
  }
  return out;
}

/// Entries of one region, each with its own view of a target's limit, and
/// callers that want the target far more often than it takes requests.
class Entries
{
public:
  Entries(std::size_t aEntries, double aPerSecond, std::uint64_t aSeed)
    : mPerSecond(aPerSecond)
    , mRandom(aSeed)
    , mLimits(aEntries)
    , mLastSends(aEntries, kNow)
  {
    const auto most = MaxSharing(aPerSecond);
    for (std::size_t n = 0; n < aEntries; ++n) {
      TakeAnswer(mLimits[n], aPerSecond, kNow, kNow);
      SetShare(mLimits[n],
               ShareOf(MakeRoster(n, aEntries), "a", aSeed, most, kNow), kNow);
    }
  }

  /// Plays a time of demand at every entry, far above the limit.
  void Play(Millis aTime)
  {
    const auto entries = static_cast<double>(mLimits.size());
    std::exponential_distribution<double> gap(mPerSecond * 10 + entries);
    for (auto now = kNow; now < kNow + aTime;) {
      now += std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(gap(mRandom)));
      const auto n = mRandom() % mLimits.size();
      if (LimitedFor(mLimits[n], mLastSends[n], now) == 0ms) {
        NoteSend(mLimits[n], now);
        mLastSends[n] = now;
        mSent.push_back(now);
        // The answer says that the limit still holds.
        TakeAnswer(mLimits[n], mPerSecond, now, now);
      }
    }
  }

  [[nodiscard]] std::size_t Sent() const noexcept { return mSent.size(); }

  [[nodiscard]] std::size_t MostIn(Millis aWindow) const
  {
    std::deque<TimePoint> window;
    std::size_t most = 0;
    for (const auto it : mSent) {
      window.push_back(it);
      while (window.front() < it - aWindow) {
        window.pop_front();
      }
      most = std::max(most, window.size());
    }
    return most;
  }

private:
  double mPerSecond;
  std::mt19937_64 mRandom;
  std::vector<RateLimit> mLimits;
  std::vector<TimePoint> mLastSends;
  std::vector<TimePoint> mSent;
};

} // namespace

Test(rate_limit, answers_tell_when_a_limit_begins_changes_and_ends)
{
  RateLimit limit;
  cr_assert_eq(TakeAnswer(limit, {}, kNow, kNow), LimitChange::None);
  cr_assert_eq(TakeAnswer(limit, 2.0, kNow, kNow + 1s), LimitChange::Named);
  cr_assert_eq(TakeAnswer(limit, 2.0, kNow, kNow + 2s), LimitChange::None);
  cr_assert_eq(limit.mStatement.mStated, kNow + 2s);
  cr_assert_eq(TakeAnswer(limit, 1.5, kNow, kNow + 3s), LimitChange::Changed);
  cr_assert_eq(TakeAnswer(limit, {}, kNow + 4s, kNow + 5s), LimitChange::Ended);
  cr_assert_not(limit.mStatement.mPerSecond.has_value());
}

Test(rate_limit, an_answer_that_crossed_the_naming_does_not_end_it)
{
  RateLimit limit;
  TakeAnswer(limit, 2.0, kNow, kNow + 1s);
  cr_assert_eq(TakeAnswer(limit, {}, kNow, kNow + 2s), LimitChange::None);
  cr_assert_eq(limit.mStatement.mPerSecond, 2.0);
}

// Guards against entries whose parts add up to more than a target takes, when
// every entry has more requests for it than its part.
Test(rate_limit, entries_under_load_stay_within_a_limit_together)
{
  for (const std::size_t entries : { 1U, 2U, 4U, 12U, 65U, 195U }) {
    for (const double limit : { 0.5, 1.7, 2.4, 10.0, 60.0 }) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Entries region(entries, limit, seed);
        region.Play(60s);
        const double allowed = 1.5 * 4 * limit + 5;
        cr_assert_leq(static_cast<double>(region.MostIn(4s)), allowed,
                      "%zu entries, limit %f: %zu", entries, limit,
                      region.MostIn(4s));
        // It is used, too.
        cr_assert_geq(static_cast<double>(region.Sent()), 60 * limit / 2,
                      "%zu entries, limit %f: %zu", entries, limit,
                      region.Sent());
      }
    }
  }
}

Test(rate_limit, entries_agree_on_who_shares_a_limit)
{
  for (const std::size_t entries : { 1U, 4U, 30U }) {
    std::set<std::size_t> ranks;
    for (std::size_t n = 0; n < entries; ++n) {
      const auto share = ShareOf(MakeRoster(n, entries), "a", 7, 5, kNow);
      cr_assert_eq(share.mSharing, std::min<std::size_t>(entries, 5));
      cr_assert_lt(share.mRank, entries);
      ranks.insert(share.mRank);
    }
    cr_assert_eq(ranks.size(), entries);
  }
}

Test(rate_limit, entries_of_other_regions_share_only_where_a_region_has_none)
{
  auto roster = MakeRoster(0, 3);
  cr_assert_eq(ShareOf(roster, "b", 7, 5, kNow).mSharing, 3U);
  EntryRecord far;
  far.mName = "far";
  far.mRegion = "b";
  TakeRecord(roster, far, kNow);
  cr_assert_eq(ShareOf(roster, "b", 7, 5, kNow).mSharing, 0U);
}

Test(rate_limit, an_entry_that_serves_no_callers_or_leaves_does_not_share)
{
  auto roster = MakeRoster(0, 3);
  roster.mServing = { "e1", "e2" };
  cr_assert_eq(ShareOf(roster, "a", 7, 5, kNow).mSharing, 0U);
  roster.mServing = { "e0", "e2" };
  cr_assert_eq(ShareOf(roster, "a", 7, 5, kNow).mSharing, 2U);
  roster.mLeaving = true;
  cr_assert_eq(ShareOf(roster, "a", 7, 5, kNow).mSharing, 0U);
}

Test(rate_limit, the_newest_word_of_a_target_counts_whoever_heard_it)
{
  RateLimit limit;
  cr_assert_eq(TakeNews(limit, 2.0, kNow, kNow), LimitChange::Named);
  cr_assert_eq(TakeNews(limit, {}, kNow + 1s, kNow + 1s), LimitChange::Ended);
  cr_assert_eq(TakeNews(limit, 2.0, kNow, kNow + 2s), LimitChange::None);
  cr_assert_not(limit.mStatement.mPerSecond.has_value());
  TakeAnswer(limit, {}, kNow + 3s, kNow + 4s);
  cr_assert_eq(TakeNews(limit, 2.0, kNow + 3s, kNow + 5s), LimitChange::None);
}

Test(rate_limit, only_what_a_target_told_this_entry_is_told_on)
{
  RateLimit limit;
  cr_assert_not(ShouldAnnounce(limit, kNow));
  TakeNews(limit, 2.0, kNow, kNow);
  cr_assert_not(ShouldAnnounce(limit, kNow));
  TakeAnswer(limit, 2.0, kNow, kNow + 1s);
  cr_assert(ShouldAnnounce(limit, kNow + 60s));
  TakeAnswer(limit, {}, kNow + 60s, kNow + 61s);
  cr_assert(ShouldAnnounce(limit, kNow + 62s));
  cr_assert_not(ShouldAnnounce(limit, kNow + 90s));
}

Test(rate_limit, a_limit_that_nothing_is_heard_of_is_asked_about)
{
  RateLimit limit;
  TakeNews(limit, 2.0, kNow, kNow);
  SetShare(limit, { 0, 2 }, kNow);
  cr_assert_gt(LimitedFor(limit, kNow, kNow + 39s), 0ms);
  cr_assert_eq(LimitedFor(limit, kNow, kNow + 40s), 0ms);
  // One request at a time.
  cr_assert_gt(LimitedFor(limit, kNow + 40s, kNow + 41s), 0ms);
}

Test(rate_limit, a_target_that_takes_nothing_is_asked_by_those_that_share)
{
  RateLimit limit;
  TakeAnswer(limit, 0.0, kNow, kNow);
  SetShare(limit, { 4, 0 }, kNow);
  NoteSend(limit, kNow);
  cr_assert_gt(LimitedFor(limit, kNow, kNow + 1s), 0ms);
  cr_assert_eq(LimitedFor(limit, kNow, kNow + 11s), 0ms);
}
