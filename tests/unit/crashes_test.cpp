#include "entry/crashes.hpp"

#include "cluster/ports.hpp"
#include "entry_fixtures.hpp"
#include "fixtures.hpp"
#include "scripted_server.hpp"
#include "standin/platform_target.hpp"

#include <boost/asio/executor_work_guard.hpp>

#include <criterion/criterion.h>

#include <memory>
#include <vector>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;
using tests::ScriptedAnswer;
using tests::ScriptedServer;

namespace {

/// An entry with one target.
struct Bed
{
  boost::asio::io_context mContext{ 1 };
  Entry mEntry{ mContext, tests::EntrySettingsOf("e1"), tests::PlainAdapter() };
  ScriptedServer mServer{ mContext, [](int, const std::string&) {
                           return ScriptedAnswer{ "HTTP/1.1 200 Any\r\n"
                                                  "Content-Length: 0\r\n\r\n" };
                         } };

  Bed() { Register(1); }

  void Register(std::int64_t aStarted, const char* aId = "t1")
  {
    auto target =
      tests::TargetAt(aId, "127.0.0.1:" + std::to_string(mServer.Port()));
    target.mStarted = aStarted;
    NoteNewLife(mEntry, target, Clock::now());
    TakeRegistration(mEntry.mRegistry, target, Clock::now());
  }

  [[nodiscard]] TargetPtr Target()
  {
    return mEntry.mRegistry.mTargets.at("t1");
  }

  /// Breaks runs of requests 1, 2, ... and waits until the target was asked.
  void Break(std::uint64_t aRuns)
  {
    const auto now = Clock::now();
    for (std::uint64_t digest = 1; digest <= aRuns; ++digest) {
      NoteBrokenRun(mEntry, Target(), { digest, now - 1s, now }, now);
    }
    mContext.run_for(100ms);
  }

  [[nodiscard]] std::size_t Suspects() const
  {
    return mEntry.mCrashTable.mRecords.size();
  }
};

} // namespace

// Guards against a request that crashes targets beside others and is never
// counted: only the last run that broke with a target was suspect.
Test(crashes, all_runs_that_break_with_a_target_are_suspect)
{
  Bed bed;
  bed.mServer.StopListening();
  bed.Break(3);
  cr_assert_eq(bed.Suspects(), 3U);
}

// Guards against crashes that are seen only where the same entry has another
// request for the target soon: it asks by itself.
Test(crashes, a_target_that_broke_a_run_is_asked_whether_it_listens)
{
  Bed bed;
  bed.Break(1);
  cr_assert_eq(bed.mServer.Connections(), 1);
  cr_assert_eq(bed.Suspects(), 0U);
  const Endpoint endpoint{ "127.0.0.1", bed.mServer.Port() };
  cr_assert(bed.mEntry.mTargetClient.HasOpen(endpoint));
}

Test(crashes, a_full_target_that_refuses_connections_has_not_crashed)
{
  Bed bed;
  bed.Break(1);
  bed.mServer.StopListening();
  bed.Break(1);
  cr_assert_eq(bed.Suspects(), 0U);
}

// Guards against crashes unseen where a target is back before it is asked.
Test(crashes, another_life_shows_a_crash)
{
  for (const auto* id : { "t1", "t2" }) {
    Bed bed;
    bed.Break(1);
    bed.Register(2, id);
    cr_assert_eq(bed.Suspects(), 1U, "%s", id);
  }
}

Test(crashes, a_target_that_leaves_may_end_with_runs_under_way)
{
  Bed bed;
  bed.Target()->mLeft = true;
  bed.mServer.StopListening();
  bed.Break(2);
  cr_assert_eq(bed.Suspects(), 0U);
  cr_assert(bed.mEntry.mBrokenTargets.empty());
}

Test(crashes, broken_runs_are_forgotten)
{
  Bed bed;
  bed.Break(1);
  ForgetBrokenRuns(bed.mEntry, Clock::now() + 20s);
  cr_assert(bed.mEntry.mBrokenTargets.empty());
  bed.Register(2);
  cr_assert_eq(bed.Suspects(), 0U);
}

namespace {

/// Judges a silent target while another one of its failure domain serves.
/// @param aBack  both are silent, and are back before the other is asked
/// @returns how many requests are suspect
std::size_t SuspectsOfSilence(bool aBack)
{
  using testing::PlatformTarget;
  constexpr const char* kAddress = "127.0.0.1";
  boost::asio::io_context context{ 1 };
  const auto work = boost::asio::make_work_guard(context);
  Entry entry{ context, tests::EntrySettingsOf("e1"), tests::PlainAdapter() };
  testing::PortPicker ports;
  testing::History history;
  std::vector<std::unique_ptr<PlatformTarget>> targets;
  for (const auto* id : { "t1", "t2" }) {
    testing::PlatformTargetOptions options;
    options.mId = id;
    options.mService = "service";
    options.mAddress = kAddress;
    options.mPort = ports.Pick(kAddress);
    targets.push_back(
      std::make_unique<PlatformTarget>(context, options, history, 1));
    cr_assert(targets.back()->Start().empty());
    targets.back()->SetCrashManner(testing::CrashManner::Mute);
    TakeRegistration(
      entry.mRegistry,
      tests::TargetAt(id, kAddress + (":" + std::to_string(options.mPort))),
      Clock::now());
  }
  targets[0]->Crash();
  if (aBack) {
    targets[1]->Crash();
  }
  context.run_for(50ms);
  const auto now = Clock::now();
  NoteBrokenRun(entry, entry.mRegistry.mTargets.at("t1"),
                { 1, now - 1s, now, RunEnd::Unseen }, now);
  // The system sends the probe's first packet again after a second, when the
  // probe has ended.
  context.run_for(500ms);
  if (aBack) {
    for (const auto& it : targets) {
      cr_assert(it->Start().empty());
    }
  }
  context.run_for(2s);
  return entry.mCrashTable.mRecords.size();
}

} // namespace

// Guards against requests that are taken to have crashed a target when its
// failure domain was silent and came back while the target was asked.
Test(crashes, a_domain_that_is_back_when_asked_blames_no_request)
{
  cr_assert_eq(SuspectsOfSilence(true), 0U);
}

// The same where the target stays silent beside another one that serves.
Test(crashes, a_target_silent_beside_another_has_crashed)
{
  cr_assert_eq(SuspectsOfSilence(false), 1U);
}
