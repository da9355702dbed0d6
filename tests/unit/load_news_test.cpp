#include "entry/load_news.hpp"

#include "cluster/ports.hpp"
#include "entry/messages.hpp"
#include "entry_fixtures.hpp"
#include "fixtures.hpp"
#include "scripted_server.hpp"

#include <guavaline/placement/peer_load.hpp>

#include <criterion/criterion.h>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;

/// Reads loads as "REQUESTS,PERCENT".
std::optional<ReportedLoad> ReadTestLoad(std::string_view aText)
{
  const auto comma = aText.find(',');
  if (comma == std::string_view::npos) {
    return std::nullopt;
  }
  ReportedLoad out;
  out.mRunning =
    static_cast<std::uint32_t>(std::stoul(std::string(aText.substr(0, comma))));
  out.mRunPercent = static_cast<std::uint32_t>(
    std::stoul(std::string(aText.substr(comma + 1))));
  return out;
}

/// Two entries that hear each other over loopback, and one target.
struct TwoEntries
{
  explicit TwoEntries(const std::string& aLoad)
    : mTarget(mContext, [aLoad](int, const std::string&) {
      return tests::ScriptedAnswer{ "HTTP/1.1 200 Any\r\nProof: p\r\nLoad: " +
                                    aLoad + "\r\nContent-Length: 2\r\n\r\nok" };
    })
  {
    auto adapter = tests::PlainAdapter();
    adapter.mReadLoad = ReadTestLoad;
    for (const auto* name : { "e0", "e1" }) {
      auto settings = tests::EntrySettingsOf(name);
      settings.mPeers = { "127.0.0.1", mPorts.Pick("127.0.0.1") };
      mEntries.push_back(std::make_unique<Entry>(mContext, settings, adapter));
      tests::ServeOneRoute(*mEntries.back(), RequestKind::Idempotent);
      Register(*mEntries.back(), 1);
    }
    for (const auto& it : mEntries) {
      for (const auto& other : mEntries) {
        TakeRecord(it->mRoster, other->mRoster.mSelf, Clock::now());
      }
    }
    for (const auto& it : mEntries) {
      tests::StartPeering(mContext, *it);
    }
    Until([&] {
      return !ServingPeers(mEntries[0]->mRoster, Clock::now()).empty();
    });
  }

  void Register(Entry& aEntry, std::int64_t aStarted)
  {
    auto target =
      tests::TargetAt("t1", "127.0.0.1:" + std::to_string(mTarget.Port()));
    target.mStarted = aStarted;
    TakeRegistration(aEntry.mRegistry, target, Clock::now());
  }

  /// Sends one request by the first entry.
  void Send()
  {
    HttpRequest request;
    request.mTarget = "/x/1";
    request.mHeaders = { { "Host", "a.example" },
                         { "Id", "q" },
                         { "Time-Left", "9000" } };
    cr_assert_eq(
      tests::Forward(mContext, *mEntries[0], std::move(request)).mStatus, 200U);
  }

  template<class Holds>
  void Until(const Holds& aHolds)
  {
    mContext.restart();
    const auto end = Clock::now() + 20s;
    while (!aHolds() && Clock::now() < end) {
      mContext.run_for(10ms);
    }
    cr_assert(aHolds());
  }

  /// Waits until the second entry has heard a message.
  void UntilHeard()
  {
    Until([&] { return mEntries[1]->mLoads.mHeard != TimePoint{}; });
  }

  [[nodiscard]] const TargetLoad& LoadAt(std::size_t aEntry) const
  {
    return mEntries[aEntry]->mRegistry.mTargets.at("t1")->mLoad;
  }

  asio::io_context mContext{ 1 };
  testing::PortPicker mPorts;
  std::vector<std::unique_ptr<Entry>> mEntries;
  tests::ScriptedServer mTarget;
};

} // namespace

// Guards against an entry that knows of a target's load and of its host's speed
// only what its own answers said.
Test(load_news, an_entry_hears_what_another_one_learned)
{
  TwoEntries two("7,250");
  two.Send();
  cr_assert_eq(two.mEntries[0]->mSpeedReporting.count("service"), 1U);
  PushLoadNews(*two.mEntries[0], Clock::now());
  two.UntilHeard();
  const auto& load = two.LoadAt(1);
  cr_assert_gt(load.mShared.mReported.time_since_epoch().count(), 0);
  cr_assert_float_eq(load.mShared.mRunFactor, 2.5, 0.01);
  cr_assert_gt(SharedExpectedLoad(load, two.mEntries[1]->mLoads.mHeard,
                                  load.mShared.mReported),
               1);
  cr_assert_eq(two.mEntries[1]->mSpeedReporting.count("service"), 1U);
  // Nothing has changed since.
  cr_assert(TakeLoadNews(*two.mEntries[0], Clock::now()).mTargets.empty());
}

// Guards against figures of a target's earlier life that are taken for those of
// its present one, and against a message that is dropped whole for it.
Test(load_news, earlier_lives_and_unknown_targets_are_left_out)
{
  TwoEntries two("7,250");
  two.Send();
  two.Register(*two.mEntries[1], 2);
  PushLoadNews(*two.mEntries[0], Clock::now());
  two.UntilHeard();
  cr_assert_eq(two.LoadAt(1).mShared.mReported.time_since_epoch().count(), 0);
  const auto& now = two.mEntries[1]->mRegistry.mTargets.at("t1");
  LoadNews news{ 9, { 12345, LoadId(*now) }, { 1, 3 }, {}, {}, {}, {} };
  cr_assert(HearLoadNews(*two.mEntries[1], ToJson(news), Clock::now()));
  cr_assert_eq(two.LoadAt(1).mShared.mPeers.size(), 1U);
  cr_assert_eq(two.LoadAt(1).mShared.mPeers[0].mInFlight, 3U);
  const auto text = two.mEntries[1]->mMetrics.Text();
  cr_assert(text.find("load_unknown_targets_total{} 2") != std::string::npos,
            "%s", text.c_str());
}

// Guards against malformed messages that are taken in half.
Test(load_news, malformed_messages_are_counted_and_change_nothing)
{
  TwoEntries two("7");
  auto& entry = *two.mEntries[1];
  const auto id = LoadId(*entry.mRegistry.mTargets.at("t1"));
  const LoadNews shorter{ 9, { id }, {}, {}, {}, {}, {} };
  const LoadNews huge{ 9, { id }, { 1ULL << 40U }, {}, {}, {}, {} };
  const LoadNews aged{ 9, { id }, { 1 }, { 1 }, { 1 }, { 100 }, { 1U << 30U } };
  for (const auto& it : { ToJson(shorter), ToJson(huge), ToJson(aged),
                          std::string("{\"entry\":-1}"), std::string("x") }) {
    cr_assert_not(HearLoadNews(entry, it, Clock::now()), "%s", it.c_str());
  }
  cr_assert(two.LoadAt(1).mShared.mPeers.empty());
  cr_assert_eq(entry.mLoads.mHeard.time_since_epoch().count(), 0);
}

// Guards against messages in deployments whose targets report no run percent.
Test(load_news, nothing_is_sent_without_contended_services)
{
  TwoEntries two("7");
  two.Send();
  cr_assert(TakeLoadNews(*two.mEntries[0], Clock::now()).mTargets.empty());
}

// Guards against messages without bound.
Test(load_news, a_message_tells_of_64_targets_and_the_next_of_the_rest)
{
  TwoEntries two("7,100");
  auto& entry = *two.mEntries[0];
  entry.mSpeedReporting.insert("service");
  for (int n = 0; n < 100; ++n) {
    TakeRegistration(entry.mRegistry,
                     tests::TargetAt("u" + std::to_string(n), "127.0.0.1:1"),
                     Clock::now());
    entry.mRegistry.mTargets.at("u" + std::to_string(n))->mLoad.mOwn = 1;
  }
  const auto now = Clock::now();
  cr_assert_eq(TakeLoadNews(entry, now).mTargets.size(), 64U);
  cr_assert_eq(TakeLoadNews(entry, now).mTargets.size(), 36U);
  cr_assert(TakeLoadNews(entry, now).mTargets.empty());
}
