#include <guavaline/admission/account_limits.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <numeric>
#include <random>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

constexpr Millis kStep{ 20 };
constexpr Millis kReportPeriod{ 200 };
constexpr std::size_t kRegions = 3;
constexpr const char* kAccount = "a";

struct FleetOptions
{
  std::size_t mEntries = 12;
  AccountLimit mLimit{ 450, 450 };
  double mLoss = 0;
  Millis mDelay{ 3 }; ///< Of a message within a region.
  std::uint64_t mSeed = 1;
};

/// Entries that exchange reports with delays and losses, and the requests that
/// they admit.
class Fleet
{
public:
  using Rate = std::function<double(std::size_t aEntry, Millis aTime)>;

  explicit Fleet(const FleetOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
    , mEntries(aOptions.mEntries)
    , mCut(aOptions.mEntries, false)
    , mDead(aOptions.mEntries, false)
  {
    std::lognormal_distribution<double> weight(0, 1);
    for (std::size_t n = 0; n < mEntries.size(); ++n) {
      mWeights.push_back(weight(mRandom));
      Start(n);
    }
    const double sum = std::accumulate(mWeights.begin(), mWeights.end(), 0.0);
    for (auto& it : mWeights) {
      it /= sum;
    }
  }

  /// Starts an entry without state.
  void Start(std::size_t aEntry)
  {
    mEntries[aEntry] = {};
    mDead[aEntry] = false;
    SetAccountLimit(mEntries[aEntry], kAccount, mOptions.mLimit, Now());
    Expect(aEntry);
  }
  void SetLimit(const AccountLimit& aLimit)
  {
    mOptions.mLimit = aLimit;
    for (auto& it : mEntries) {
      SetAccountLimit(it, kAccount, aLimit, Now());
    }
  }
  /// Loses all messages from and to an entry.
  void Cut(std::size_t aEntry) { mCut[aEntry] = true; }
  void Kill(std::size_t aEntry) { mDead[aEntry] = true; }

  /// Runs for a time.
  /// @param aRate  requests a second at an entry
  void Run(Millis aTime, const Rate& aRate)
  {
    for (const auto end = mTime + aTime; mTime < end; mTime += kStep) {
      Deliver();
      for (std::size_t n = 0; n < mEntries.size(); ++n) {
        if (mDead[n]) {
          continue;
        }
        Report(n);
        const double mean =
          aRate(n, mTime) * std::chrono::duration<double>(kStep).count();
        std::poisson_distribution<int> arrivals(std::max(mean, 1e-9));
        for (int k = arrivals(mRandom); k > 0; --k) {
          ++mAsked;
          if (TakeRequest(mEntries[n], kAccount, Now())) {
            ++mRefused;
          } else {
            mAdmitted.push_back(mTime);
          }
        }
      }
    }
  }

  /// @returns a rate of a multiple of the limit, by the entries' weights
  [[nodiscard]] Rate Uneven(double aOfLimit) const
  {
    return [this, aOfLimit](std::size_t n, Millis) {
      return mOptions.mLimit.mPerSecond * aOfLimit * mWeights[n];
    };
  }
  [[nodiscard]] Rate Even(double aOfLimit) const
  {
    return [this, aOfLimit](std::size_t, Millis) {
      return mOptions.mLimit.mPerSecond * aOfLimit /
             static_cast<double>(mEntries.size());
    };
  }
  /// @returns Even, with 80 % of one entry's demand at another in turn
  [[nodiscard]] Rate Moving(double aOfLimit) const
  {
    return [this, even = Even(aOfLimit)](std::size_t n, Millis aTime) {
      const auto from =
        static_cast<std::size_t>(aTime.count() / 1'500) % mEntries.size();
      const auto to = (from + 1) % mEntries.size();
      return even(n, aTime) * (n == from ? 0.2 : n == to ? 1.8 : 1);
    };
  }

  [[nodiscard]] double RefusedPart() const
  {
    return static_cast<double>(mRefused) / static_cast<double>(mAsked);
  }
  void Forget()
  {
    mAsked = 0;
    mRefused = 0;
  }
  [[nodiscard]] std::size_t AdmittedSince(Millis aTime) const
  {
    return static_cast<std::size_t>(
      std::count_if(mAdmitted.begin(), mAdmitted.end(),
                    [aTime](Millis a) { return a >= aTime; }));
  }
  [[nodiscard]] Millis Time() const { return mTime; }

  /// Checks the bound in each window that begins at or after a time.
  void CheckBound(Millis aFrom = 0ms) const
  {
    const AccountBounds bounds;
    const auto& limit = mOptions.mLimit;
    const double most =
      (limit.mPerSecond * 5 + limit.mBurst) * (1 + bounds.mOver) +
      bounds.mSlack;
    auto end = mAdmitted.begin();
    for (auto it = mAdmitted.begin(); it != mAdmitted.end(); ++it) {
      end = std::find_if(end, mAdmitted.end(),
                         [&](Millis a) { return a >= *it + bounds.mWindow; });
      cr_assert(*it < aFrom || static_cast<double>(end - it) <= most,
                "%td in a window at %lld ms, at most %.1f allowed", end - it,
                static_cast<long long>(it->count()), most);
    }
  }

private:
  struct Message
  {
    Millis mArrives;
    std::size_t mTo = 0;
    std::string mFrom; ///< Name of an entry or a region.
    bool mRegion = false;
    bool mPassOn = false;
    AccountReport mReport;
  };

  [[nodiscard]] TimePoint Now() const { return TimePoint(1'000s) + mTime; }
  [[nodiscard]] static std::string NameOf(std::size_t aEntry)
  {
    return "e" + std::to_string(100 + aEntry);
  }
  [[nodiscard]] static std::size_t RegionOf(std::size_t aEntry)
  {
    return aEntry % kRegions;
  }

  void Send(std::size_t aFrom, Message aMessage)
  {
    std::uniform_real_distribution<double> draw;
    if (!mCut[aFrom] && !mCut[aMessage.mTo] && !mDead[aMessage.mTo] &&
        draw(mRandom) >= mOptions.mLoss) {
      mMessages.push_back(std::move(aMessage));
    }
  }
  void SendToRegion(std::size_t aFrom, const std::string& aName, bool aRegion,
                    const AccountReport& aReport)
  {
    for (std::size_t n = RegionOf(aFrom); n < mEntries.size(); n += kRegions) {
      if (n != aFrom) {
        Send(aFrom,
             { mTime + mOptions.mDelay, n, aName, aRegion, false, aReport });
      }
    }
  }

  /// Names the entries of the region and the regions to an entry.
  void Expect(std::size_t aEntry)
  {
    auto& entry = mEntries[aEntry];
    std::set<std::string> peers;
    for (std::size_t n = RegionOf(aEntry); n < mEntries.size(); n += kRegions) {
      if (n != aEntry) {
        peers.insert(NameOf(n));
      }
    }
    std::map<std::string, std::size_t> regions;
    for (std::size_t r = 0; r < kRegions; ++r) {
      if (r != RegionOf(aEntry)) {
        regions["r" + std::to_string(r)] = mEntries.size() / kRegions;
      }
    }
    ExpectPeers(entry, peers, {}, regions, Now());
  }

  void Report(std::size_t aEntry)
  {
    const auto turn = mTime / kStep + static_cast<std::int64_t>(aEntry);
    if (turn % (kReportPeriod / kStep) != 0) {
      return;
    }
    auto& entry = mEntries[aEntry];
    Expect(aEntry);
    SendToRegion(aEntry, NameOf(aEntry), false, TellEntry(entry, Now()));
    if (!SpeaksForRegion(entry, NameOf(aEntry), Now()) ||
        turn % (2 * (kReportPeriod / kStep)) != 0) {
      return;
    }
    const auto report = TellRegion(entry, Now());
    for (std::size_t r = 0; r < kRegions; ++r) {
      if (r != RegionOf(aEntry)) {
        const auto to = mRandom() % (mEntries.size() / kRegions) * kRegions + r;
        Send(aEntry,
             { mTime + 60ms + mOptions.mDelay, to,
               "r" + std::to_string(RegionOf(aEntry)), true, true, report });
      }
    }
  }

  void Deliver()
  {
    std::vector<Message> arrived;
    std::erase_if(mMessages, [&](Message& a) {
      if (a.mArrives > mTime) {
        return false;
      }
      arrived.push_back(std::move(a));
      return true;
    });
    for (const auto& it : arrived) {
      auto& entry = mEntries[it.mTo];
      if (mDead[it.mTo]) {
        continue;
      }
      (it.mRegion ? HearRegion : HearEntry)(entry, it.mFrom, it.mReport, Now());
      if (it.mPassOn) {
        SendToRegion(it.mTo, it.mFrom, true, it.mReport);
      }
    }
  }

  FleetOptions mOptions;
  std::mt19937_64 mRandom;
  Millis mTime{ 0 };
  std::vector<AccountLimits> mEntries;
  std::vector<bool> mCut;
  std::vector<bool> mDead;
  std::vector<double> mWeights; ///< Of callers.
  std::vector<Message> mMessages;
  std::vector<Millis> mAdmitted;
  std::size_t mAsked = 0;
  std::size_t mRefused = 0;
};

constexpr double kUsual = 1 / 1.6;
constexpr double kHot = 7.5 / 1.6;

/// Runs a check for each number of entries and size of account.
void ForEach(const std::function<void(const FleetOptions&)>& aCheck)
{
  for (const std::size_t entries : { 12U, 60U }) {
    for (const auto& limit : { AccountLimit{ 1.7, 5 }, AccountLimit{ 10, 10 },
                               AccountLimit{ 90, 20 }, AccountLimit{ 450, 100 },
                               AccountLimit{ 450, 1'350 } }) {
      FleetOptions options;
      options.mEntries = entries;
      options.mLimit = limit;
      aCheck(options);
    }
  }
}

/// Runs at the usual demand, then at 7.5 times that for 6 s, and checks the
/// bound.
void CheckSurge(const FleetOptions& aOptions,
                const std::function<void(Fleet&)>& aPrepare)
{
  Fleet fleet(aOptions);
  fleet.Run(8s, fleet.Even(kUsual));
  aPrepare(fleet);
  fleet.Run(6s, fleet.Even(kHot));
  fleet.Run(2s, fleet.Even(kUsual));
  fleet.CheckBound();
}

} // namespace

// Guards against entries that admit a surge before they hear of each other's
// requests.
Test(account_limits, a_surge_at_all_entries_keeps_the_bound)
{
  ForEach([](const FleetOptions& a) {
    CheckSurge(a, [](Fleet&) {});
    Fleet uneven(a);
    uneven.Run(8s, uneven.Uneven(kUsual));
    uneven.Run(6s, uneven.Uneven(kHot));
    uneven.Run(2s, uneven.Uneven(kUsual));
    uneven.CheckBound();
  });
}

// Guards against shares whose sum rises above one while callers move.
Test(account_limits, callers_that_move_keep_the_bound)
{
  ForEach([](const FleetOptions& a) {
    Fleet fleet(a);
    fleet.Run(8s, fleet.Moving(kUsual));
    fleet.Run(6s, fleet.Moving(kHot));
    fleet.CheckBound();
  });
}

// Guards against an entry that serves on unheard while others use its share.
Test(account_limits, an_entry_that_is_cut_off_keeps_the_bound)
{
  ForEach([](const FleetOptions& a) {
    CheckSurge(a, [](Fleet& aFleet) {
      aFleet.Cut(1);
      aFleet.Run(1s, aFleet.Even(kUsual));
    });
  });
}

// Guards against figures that are taken to be newer than they are.
Test(account_limits, lost_and_late_reports_keep_the_bound)
{
  ForEach([](FleetOptions a) {
    a.mLoss = 0.25;
    a.mDelay = 40ms;
    CheckSurge(a, [](Fleet&) {});
  });
}

// Guards against a dead entry's requests that are forgotten with it.
Test(account_limits, an_entry_that_dies_keeps_the_bound)
{
  ForEach([](const FleetOptions& a) {
    CheckSurge(a, [](Fleet& aFleet) { aFleet.Kill(1); });
  });
}

// Guards against entries that begin with full buckets after all have forgotten
// what they admitted.
Test(account_limits, a_restart_of_all_entries_keeps_the_bound)
{
  ForEach([](const FleetOptions& a) {
    CheckSurge(a, [&](Fleet& aFleet) {
      for (std::size_t n = 0; n < a.mEntries; ++n) {
        aFleet.Kill(n);
      }
      aFleet.Run(500ms, aFleet.Even(kUsual));
      for (std::size_t n = 0; n < a.mEntries; ++n) {
        aFleet.Start(n);
      }
    });
  });
}

// Guards against a lowered limit that the buckets of the old one outlast, and
// against debts under the old one that stop the account.
Test(account_limits, a_lowered_limit_binds_within_a_window)
{
  ForEach([](const FleetOptions& a) {
    const AccountLimit lower{ a.mLimit.mPerSecond / 10, a.mLimit.mBurst / 10 };
    Fleet fleet(a);
    fleet.Run(8s, fleet.Even(kUsual));
    fleet.SetLimit(lower);
    const auto lowered = fleet.Time();
    fleet.Run(5s, fleet.Even(10 * kUsual));
    cr_assert_gt(static_cast<double>(fleet.AdmittedSince(lowered)),
                 lower.mPerSecond * 5 * 0.6);
    fleet.Run(10s, fleet.Even(10 * kUsual));
    fleet.CheckBound(lowered + 5s);
  });
}

// Guards against refusals of an account that is well below its limit.
Test(account_limits, uneven_callers_below_the_limit_are_served)
{
  for (const std::size_t entries : { 12U, 60U }) {
    for (const auto& limit :
         { AccountLimit{ 1.7, 5 }, AccountLimit{ 450, 100 } }) {
      for (const std::uint64_t seed : { 1U, 2U, 3U }) {
        FleetOptions options;
        options.mEntries = entries;
        options.mLimit = limit;
        options.mSeed = seed;
        Fleet fleet(options);
        fleet.Run(5s, fleet.Uneven(kUsual));
        fleet.Forget();
        fleet.Run(30s, fleet.Uneven(kUsual));
        cr_assert_lt(fleet.RefusedPart(), 0.01, "%f refused, %zu entries",
                     fleet.RefusedPart(), entries);
      }
    }
  }
}

// Guards against a surge after which an account stays refused.
Test(account_limits, an_account_recovers_after_a_surge)
{
  ForEach([](const FleetOptions& a) {
    Fleet fleet(a);
    fleet.Run(8s, fleet.Even(kUsual));
    fleet.Run(6s, fleet.Even(kHot));
    fleet.Run(5s, fleet.Even(kUsual));
    fleet.Forget();
    fleet.Run(10s, fleet.Even(kUsual));
    cr_assert_lt(fleet.RefusedPart(), 0.05, "%f refused", fleet.RefusedPart());
  });
}

// Guards against a refused request that still counts, one that is given back
// and does not, and a Retry-After that is longer than the wait.
Test(account_limits, a_request_given_back_may_come_again)
{
  const TimePoint now(1'000s);
  AccountLimits limits;
  SetAccountLimit(limits, kAccount, { 2, 0 }, now);
  while (!TakeRequest(limits, kAccount, now)) {
  }
  const auto wait = TakeRequest(limits, kAccount, now);
  cr_assert(wait && *wait >= 100ms && *wait <= 5s);
  GiveBack(limits, kAccount, now);
  cr_assert_not(TakeRequest(limits, kAccount, now).has_value());
  cr_assert(TakeRequest(limits, kAccount, now).has_value());
  cr_assert_not(TakeRequest(limits, kAccount, now + *wait + 1s).has_value());
}

// Guards against a raised limit that is in force only after a wait, and an
// account that keeps a limit which its configuration dropped.
Test(account_limits, a_raised_or_dropped_limit_is_in_force_at_once)
{
  const TimePoint now(1'000s);
  AccountLimits limits;
  SetAccountLimit(limits, kAccount, { 2, 0 }, now);
  while (!TakeRequest(limits, kAccount, now)) {
  }
  cr_assert(SetAccountLimit(limits, kAccount, { 200, 100 }, now));
  cr_assert_not(SetAccountLimit(limits, kAccount, { 200, 100 }, now));
  cr_assert_not(TakeRequest(limits, kAccount, now).has_value());
  cr_assert(SetAccountLimit(limits, kAccount, {}, now));
  cr_assert_not(TakeRequest(limits, kAccount, now).has_value());
  cr_assert(limits.mAccounts.empty());
}
