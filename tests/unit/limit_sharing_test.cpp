#include "entry/messages.hpp"

#include "entry_fixtures.hpp"
#include "fixtures.hpp"
#include "scripted_server.hpp"

#include <guavaline/core/hash.hpp>

#include <criterion/criterion.h>

#include <algorithm>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;
using tests::ScriptedAnswer;
using tests::ScriptedServer;

namespace {

namespace asio = boost::asio;

/// What a target may get in some 4 s, from the platform's pages.
constexpr double kOver = 1.5;
constexpr double kSlack = 5;

/// @returns an adapter for which each request is for another object
PlatformAdapter MakeAdapter(std::mt19937_64& aObjects)
{
  auto out = tests::PlainAdapter();
  out.mObjectOf = [&](const HttpRequest&) { return HexId(aObjects()); };
  return out;
}

/// Entries of one region with the same targets, of which some name a limit.
class RegionOfEntries
{
public:
  explicit RegionOfEntries(int aEntries)
  {
    for (int n = 0; n < aEntries; ++n) {
      mEntries.push_back(std::make_unique<Entry>(
        mContext, tests::EntrySettingsOf("e" + std::to_string(n)),
        MakeAdapter(mObjects)));
      tests::ServeOneRoute(*mEntries.back(), RequestKind::Idempotent);
      mEntries.back()->mRouting.mRoutes[0].mTimeout = Millis(0);
    }
    for (const auto& it : mEntries) {
      for (const auto& other : mEntries) {
        TakeRecord(it->mRoster, other->mRoster.mSelf, Clock::now());
      }
    }
  }

  void AddTarget(const std::string& aHeaders)
  {
    const auto script = [aHeaders](int, const std::string&) -> ScriptedAnswer {
      return { "HTTP/1.1 200 Any\r\nProof: p\r\n" + aHeaders +
               "Content-Length: 2\r\n\r\nok" };
    };
    mTargets.push_back(std::make_unique<ScriptedServer>(mContext, script));
    const auto target =
      tests::TargetAt("t" + std::to_string(mTargets.size()),
                      "127.0.0.1:" + std::to_string(mTargets.back()->Port()));
    for (const auto& it : mEntries) {
      TakeRegistration(it->mRegistry, target, Clock::now());
    }
  }

  /// Sends one request through each entry in turn.
  /// @returns how many were served
  int SendAll(int aRounds)
  {
    int served = 0;
    for (int n = 0; n < aRounds; ++n) {
      for (const auto& it : mEntries) {
        mLast = Send(*it);
        served += mLast.mStatus == 200 ? 1 : 0;
      }
    }
    return served;
  }

  [[nodiscard]] int Runs(std::size_t aTarget) const
  {
    return mTargets[aTarget]->Requests();
  }
  [[nodiscard]] const HttpResponse& Last() const noexcept { return mLast; }
  [[nodiscard]] Entry& At(std::size_t aEntry) { return *mEntries[aEntry]; }

private:
  HttpResponse Send(Entry& aEntry)
  {
    HttpRequest request;
    request.mTarget = "/x/1";
    request.mHeaders = { { "Host", "a.example" },
                         { "Id", "q" },
                         { "Time-Left", "9000" } };
    return tests::Forward(mContext, aEntry, std::move(request));
  }

  std::mt19937_64 mObjects{ 1 };
  asio::io_context mContext{ 1 };
  std::vector<std::unique_ptr<Entry>> mEntries;
  std::vector<std::unique_ptr<ScriptedServer>> mTargets;
  HttpResponse mLast;
};

/// @returns the most requests that a target with a limit may get, from entries
///          each of which learns of it by one request of its own
double MostFor(double aPerSecond, int aEntries, TimePoint aBegan)
{
  const std::chrono::duration<double> took = Clock::now() - aBegan;
  return kOver * aPerSecond * std::max(4.0, took.count()) + kSlack + aEntries;
}

} // namespace

// Guards against limits that no entry heeds: a target that named one got as
// many requests as any other.
Test(limit_sharing, a_target_gets_no_more_than_the_limit_that_it_names)
{
  RegionOfEntries region(1);
  region.AddTarget("Limit: 0.5\r\n");
  region.AddTarget("");
  const auto began = Clock::now();
  cr_assert_eq(region.SendAll(80), 80);
  cr_assert_leq(region.Runs(0), MostFor(0.5, 1, began), "%d runs",
                region.Runs(0));
}

// Guards against entries that each use the whole of a target's limit.
Test(limit_sharing, entries_share_a_limit)
{
  RegionOfEntries region(12);
  region.AddTarget("Limit: 1.7\r\n");
  region.AddTarget("");
  const auto began = Clock::now();
  cr_assert_eq(region.SendAll(20), 240);
  cr_assert_leq(region.Runs(0), MostFor(1.7, 12, began), "%d runs",
                region.Runs(0));
}

// Guards against requests that wait for, or are sent to, targets none of which
// takes more.
Test(limit_sharing, what_no_target_takes_is_refused_at_once)
{
  RegionOfEntries region(1);
  region.AddTarget("Limit: 0.5\r\n");
  region.AddTarget("Limit: 0.5\r\n");
  const auto began = Clock::now();
  cr_assert_lt(region.SendAll(80), 80);
  cr_assert_leq(region.Runs(0), MostFor(0.5, 1, began), "%d runs",
                region.Runs(0));
  cr_assert_leq(region.Runs(1), MostFor(0.5, 1, began), "%d runs",
                region.Runs(1));
  cr_assert_eq(region.Last().mStatus, 503U);
  cr_assert_not(FindHeader(region.Last().mHeaders, "Retry-After").empty());
}

// Guards against a restart that forgets a limit: the entry hears of it before
// it has sent the target anything.
Test(limit_sharing, an_entry_that_starts_hears_of_limits_from_the_others)
{
  RegionOfEntries region(2);
  region.AddTarget("Limit: 0.5\r\n");
  region.SendAll(1);
  const auto now = Clock::now();
  EntryHeartbeat heartbeat;
  heartbeat.mLimits = TellLimits(region.At(0), now);
  cr_assert_eq(heartbeat.mLimits->size(), 1U);
  RegionOfEntries started(1);
  started.AddTarget("");
  EntryHeartbeat heard;
  cr_assert(FromJson(ToJson(heartbeat), heard).empty());
  HearLimits(started.At(0), *heard.mLimits, now);
  const auto& limit = started.At(0).mRegistry.mTargets.at("t1")->mLimit;
  cr_assert_eq(limit.mStatement.mPerSecond, 0.5);
  cr_assert_eq(limit.mShare.mSharing, 1U);
  // What it heard from others it does not tell on.
  cr_assert(TellLimits(started.At(0), now).empty());
}

// Guards against a limit that outlives its end at entries that were not told:
// heartbeats carry few limits, and those that hold are always newer.
Test(limit_sharing, heartbeats_tell_of_ended_limits_before_those_that_hold)
{
  RegionOfEntries region(1);
  const auto now = Clock::now();
  for (int n = 0; n < 40; ++n) {
    region.AddTarget("");
  }
  for (const auto& [id, target] : region.At(0).mRegistry.mTargets) {
    TakeAnswer(target->mLimit, 0.5, now - 5s, now - 5s);
    const bool ends = id == "t1" || id == "t40";
    TakeAnswer(target->mLimit, ends ? std::optional<double>() : 0.5, now - 3s,
               ends ? now - 2s : now);
  }
  const auto news = TellLimits(region.At(0), now);
  const auto ended = std::count_if(
    news.begin(), news.end(), [](const LimitNews& a) { return !a.mPerSecond; });
  cr_assert_lt(news.size(), 40U);
  cr_assert_eq(ended, 2);
}

// Guards against a limit that outlives the target's life that named it.
Test(limit_sharing, a_target_that_starts_again_has_no_limit)
{
  RegionOfEntries region(1);
  region.AddTarget("Limit: 0.5\r\n");
  region.SendAll(1);
  auto& registry = region.At(0).mRegistry;
  auto again = registry.mTargets.at("t1")->mRegistration;
  const auto old = TellLimits(region.At(0), Clock::now());
  again.mStarted = 77;
  TakeRegistration(registry, again, Clock::now());
  cr_assert_not(
    registry.mTargets.at("t1")->mLimit.mStatement.mPerSecond.has_value());
  HearLimits(region.At(0), old, Clock::now());
  cr_assert_not(
    registry.mTargets.at("t1")->mLimit.mStatement.mPerSecond.has_value());
}

Test(limit_sharing, heartbeats_without_limits_are_as_they_were_before)
{
  const auto text = ToJson(EntryHeartbeat{});
  cr_assert_eq(text.find("limits"), std::string::npos, "%s", text.c_str());
}
