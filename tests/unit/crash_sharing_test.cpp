#include "entry/crashes.hpp"
#include "entry/messages.hpp"

#include "adapter.hpp"
#include "cluster/ports.hpp"
#include "entry_fixtures.hpp"
#include "fixtures.hpp"
#include "standin/platform_target.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <criterion/criterion.h>

#include <algorithm>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;

constexpr const char* kAddress = "127.0.0.1";
/// From the rule BUDGET: so long after a request has crashed its third target
/// no more than so many sends of it may reach targets.
constexpr Millis kStabilityWindow{ 4'000 };
constexpr std::ptrdiff_t kMaxLateSends = 3;
constexpr Millis kDownTime{ 500 };
/// The registration of a crashed target goes this long after the crash.
constexpr Millis kLapseTime{ 1'500 };

/// Entries that exchange heartbeats, and targets that requests can crash.
class Fleet
{
public:
  Fleet(std::size_t aEntries, std::size_t aTargets, RequestKind aKind)
  {
    for (std::size_t n = 0; n < aEntries; ++n) {
      AddEntry(n, aKind);
    }
    for (const auto& it : mEntries) {
      for (const auto& other : mEntries) {
        TakeRecord(it->mRoster, other->mRoster.mSelf, Clock::now());
      }
      tests::StartPeering(mContext, *it);
      Spawn(TellOthers(*it));
    }
    for (std::size_t n = 0; n < aTargets; ++n) {
      AddTarget(n);
    }
  }

  /// Sends a request through entries in turn, the first of them at once.
  void SendInTurn(const std::string& aPath, Millis aGap, Millis aTime)
  {
    Spawn(SendAll(aPath, aGap, aTime));
    mContext.run_for(aTime + 500ms);
  }

  /// @returns the status of a request through one entry
  unsigned SendOne(std::size_t aEntry, const std::string& aPath)
  {
    unsigned out = 0;
    Spawn([](Fleet& aFleet, std::size_t aAt, std::string aWhat,
             unsigned& aStatus) -> asio::awaitable<void> {
      aStatus = co_await aFleet.Send(aAt, aWhat);
    }(*this, aEntry, aPath, out));
    for (int n = 0; n < 500 && out == 0; ++n) {
      mContext.run_for(10ms);
    }
    return out;
  }

  [[nodiscard]] const std::vector<TimePoint>& Crashes() const noexcept
  {
    return mCrashes;
  }
  [[nodiscard]] std::size_t EntryCount() const noexcept
  {
    return mEntries.size();
  }

private:
  void Spawn(asio::awaitable<void> aTask)
  {
    asio::co_spawn(mContext, std::move(aTask), asio::detached);
  }

  static asio::awaitable<void> TellOthers(Entry& aEntry)
  {
    while (true) {
      co_await Pause(aEntry, 200ms);
      TellCrashes(aEntry);
    }
  }

  void AddEntry(std::size_t aIndex, RequestKind aKind)
  {
    auto settings = tests::EntrySettingsOf("e" + std::to_string(aIndex));
    settings.mAddress = kAddress;
    settings.mPeers = { kAddress, mPorts.Pick(kAddress) };
    auto entry = std::make_unique<Entry>(mContext, settings,
                                         platform::MakeAdapter(mStore));
    tests::ServeOneRoute(*entry, aKind);
    auto& route = entry->mRouting.mRoutes[0];
    route.mPathPrefix = "/";
    route.mTimeout = Millis(0);
    mEntries.push_back(std::move(entry));
  }

  void AddTarget(std::size_t aIndex)
  {
    testing::PlatformTargetOptions options;
    options.mId = "t" + std::to_string(aIndex);
    options.mService = "service";
    options.mAddress = kAddress;
    options.mPort = mPorts.Pick(kAddress);
    mTargets.push_back(std::make_unique<testing::PlatformTarget>(
      mContext, options, mHistory, aIndex));
    auto& target = *mTargets.back();
    target.OnCrash([this, &target] {
      mCrashes.push_back(Clock::now());
      Spawn(ComeBack(target));
    });
    cr_assert(target.Start().empty());
    Register(target);
  }

  void Register(const testing::PlatformTarget& aTarget)
  {
    const auto& about = aTarget.About();
    auto registration = tests::TargetAt(
      about.mId, about.mAddress + ":" + std::to_string(about.mPort));
    registration.mStarted = ++mStarts;
    for (const auto& it : mEntries) {
      NoteNewLife(*it, registration, Clock::now());
      TakeRegistration(it->mRegistry, registration, Clock::now());
    }
  }

  /// Every second one comes back under the id that it had.
  asio::awaitable<void> ComeBack(testing::PlatformTarget& aTarget)
  {
    const auto old = aTarget.About().mId;
    const bool renamed = mCrashes.size() % 2 == 0;
    asio::steady_timer timer(mContext, kDownTime);
    co_await timer.async_wait(asio::use_awaitable);
    aTarget.Become(renamed ? old + "'" : old, "service");
    cr_assert(aTarget.Start().empty());
    Register(aTarget);
    if (!renamed) {
      co_return;
    }
    timer.expires_after(kLapseTime - kDownTime);
    co_await timer.async_wait(asio::use_awaitable);
    for (const auto& it : mEntries) {
      TakeRemoval(it->mRegistry, old, Clock::now());
    }
  }

  asio::awaitable<unsigned> Send(std::size_t aEntry, std::string aPath)
  {
    HttpRequest request;
    request.mTarget = std::move(aPath);
    request.mArrived = Clock::now();
    request.mHeaders = { { "Host", "a.example" },
                         { "X-Request-Id", "q" + std::to_string(++mSent) },
                         { "Cookie", "X-Affinity-Key=7" },
                         { "X-Deadline-Ms", "2000" } };
    const auto out =
      co_await ForwardRequest(*mEntries[aEntry], std::move(request));
    co_return out.mStatus;
  }

  asio::awaitable<void> SendAll(std::string aPath, Millis aGap, Millis aTime)
  {
    const auto end = Clock::now() + aTime;
    for (std::size_t n = 0; Clock::now() < end; ++n) {
      co_await Send(n % mEntries.size(), aPath);
      asio::steady_timer timer(mContext, aGap);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  asio::io_context mContext{ 1 };
  testing::PortPicker mPorts;
  HttpClient mStoreClient{ mContext.get_executor() };
  platform::ObjectStore mStore{ mStoreClient, {} };
  testing::History mHistory;
  std::vector<std::unique_ptr<Entry>> mEntries;
  std::vector<std::unique_ptr<testing::PlatformTarget>> mTargets;
  std::vector<TimePoint> mCrashes;
  std::uint64_t mSent = 0;
  std::int64_t mStarts = 0;
};

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

void CrashThrough(std::size_t aEntries, RequestKind aKind, Millis aGap)
{
  Fleet fleet(aEntries, 24, aKind);
  fleet.SendInTurn("/crash/1", aGap, 10s);
  cr_assert_leq(LateCrashes(fleet.Crashes()), kMaxLateSends,
                "%zu targets crashed, %td of them late", fleet.Crashes().size(),
                LateCrashes(fleet.Crashes()));
  for (std::size_t n = 0; n < fleet.EntryCount(); ++n) {
    cr_assert_eq(fleet.SendOne(n, "/crash/1"), 503U);
    cr_assert_eq(fleet.SendOne(n, "/good/1"), 200U);
  }
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
  const CrashEvidence evidence{
    { { 0xfedcba9876543210ULL, 0xffffffffffffffffULL, now - 3s, now - 2s } },
    { { 7, now - 1s } }
  };
  CrashMessage message;
  cr_assert(
    FromJson(ToJson(CrashMessage{ PackCrashes(evidence, now), true }), message)
      .empty());
  cr_assert(message.mPassOn);
  const auto heard = UnpackCrashes(message.mNews, now);
  cr_assert(heard);
  cr_assert_eq(heard->mCrashes.size(), 1U);
  cr_assert_eq(heard->mCrashes[0].mDigest, 0xfedcba9876543210ULL);
  cr_assert_eq(heard->mCrashes[0].mLife, 0xffffffffffffffffULL);
  cr_assert(heard->mCrashes[0].mStarted == now - 3s);
  cr_assert(heard->mCrashes[0].mCrashed == now - 2s);
  cr_assert_eq(heard->mServed.size(), 1U);
  message.mNews.mLives = { "not hexadecimal" };
  cr_assert_not(UnpackCrashes(message.mNews, now));
  message.mNews.mLives.clear();
  cr_assert_not(UnpackCrashes(message.mNews, now));
}
