#include <guavaline/placement/region_share.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <vector>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };

/// Far shares of successive windows when as many requests as possible want
/// to leave from the start.
std::vector<double> ShiftAway(RegionShare& aShare, double aPreferred)
{
  std::vector<double> out;
  int n = 0;
  for (int window = 0; window < 10; ++window) {
    double far = 0;
    for (int k = 0; k < 200; ++k, ++n) {
      const auto now = kNow + n * 10ms;
      const auto shiftBound = ShiftBoundOf(aShare, kNow, now);
      const bool prefersFar = std::fmod(n * 0.618, 1.0) < aPreferred;
      const bool leave =
        prefersFar ? shiftBound.mMayLeave : !shiftBound.mMayStay;
      NoteRegion(aShare, prefersFar, leave, shiftBound.mStrict, now);
      far += leave ? 1 : 0;
    }
    out.push_back(far / 200);
  }
  return out;
}

} // namespace

Test(region_share, a_sudden_preference_to_leave_is_met_in_steps)
{
  RegionShare share;
  const auto shares = ShiftAway(share, 0.9);
  for (std::size_t n = 1; n < shares.size(); ++n) {
    cr_assert_leq(std::abs(shares[n] - shares[n - 1]), share.mMaxShift,
                  "window %zu: %f to %f", n, shares[n - 1], shares[n]);
  }
  cr_assert_gt(shares.back(), 0.6);
}

Test(region_share, the_first_requests_go_where_the_slots_are)
{
  RegionShare share;
  // A tenth of the slots for a quarter of the callers, who find them cold.
  ExpectFarShare(share, FirstFarShare(24, 240, 2, 8));
  cr_assert_geq(share.mFar, 0.6);
  cr_assert_leq(share.mFar, 0.7);
  const auto shares = ShiftAway(share, 0.0);
  cr_assert_geq(shares.front(), 0.4);
  cr_assert_lt(shares.back(), 0.1);
  // What was sent counts more than an expectation that comes later.
  ExpectFarShare(share, 0.6);
  cr_assert_lt(share.mFar, 0.1);
}

Test(region_share, a_region_with_enough_slots_keeps_its_requests)
{
  cr_assert_eq(FirstFarShare(100, 240, 2, 6), 0);
  cr_assert_eq(FirstFarShare(0, 0, 1, 1), 0);
}

// Pattern: a burst that fills the own region; placement would send all of it
// to other regions at once.
Test(region_share, in_calm_times_the_shift_bound_is_strict)
{
  RegionShare share;
  cr_assert(ShiftBoundOf(share, kNow - 5s, kNow).mStrict);
  cr_assert_not(ShiftBoundOf(share, kNow - 1s, kNow).mStrict);
}

// Pattern: several entries of a region that share its bound without talk; few
// requests each, so that single requests weigh much.
Test(region_share, few_requests_at_each_entry_keep_the_bound_together)
{
  constexpr std::size_t kEntries = 4;
  constexpr int kPerWindow = 55;
  std::vector<RegionShare> entries(kEntries);
  std::vector<double> shares;
  for (int window = 0; window < 12; ++window) {
    double far = 0;
    for (int k = 0; k < kPerWindow; ++k) {
      for (auto& it : entries) {
        const auto now = kNow + window * 2s + k * 36ms;
        const auto shiftBound = ShiftBoundOf(it, {}, now);
        // Four calm windows, then every request wishes to leave.
        const bool prefersFar = window >= 4;
        const bool leave =
          prefersFar ? shiftBound.mMayLeave : !shiftBound.mMayStay;
        NoteRegion(it, prefersFar, leave, shiftBound.mStrict, now);
        far += leave ? 1 : 0;
      }
    }
    shares.push_back(far / (kPerWindow * kEntries));
  }
  for (std::size_t n = 1; n < shares.size(); ++n) {
    cr_assert_leq(std::abs(shares[n] - shares[n - 1]), 0.15,
                  "window %zu: %f to %f", n, shares[n - 1], shares[n]);
  }
  cr_assert_gt(shares.back(), 0.5);
}

// Pattern: after a restart of all entries the own region is short of room and
// requests leave it freely; once the unrest ends they may not be called back.
Test(region_share, the_strict_share_starts_from_where_requests_go)
{
  RegionShare share;
  auto now = kNow;
  const auto send = [&](bool aFar, bool aStrict) {
    now += 10ms;
    NoteRegion(share, aFar, aFar, aStrict, now);
  };
  for (int n = 0; n < 400; ++n) {
    send(n % 2 == 0, false);
  }
  int left = 0;
  int bound = 0;
  for (int n = 0; n < 200; ++n) {
    const auto shiftBound = ShiftBoundOf(share, {}, now);
    cr_assert(shiftBound.mStrict);
    const bool prefersFar = n % 2 == 0;
    bound += prefersFar && !shiftBound.mMayLeave ? 1 : 0;
    left += prefersFar && shiftBound.mMayLeave ? 1 : 0;
    send(prefersFar && shiftBound.mMayLeave, true);
  }
  cr_assert_leq(bound, 30, "%d of 100 held back", bound);
  cr_assert_geq(left, 70);
}
