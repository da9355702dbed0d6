#include "entry/target_words.hpp"

#include "entry_fixtures.hpp"
#include "fixtures.hpp"
#include "scripted_server.hpp"

#include <criterion/criterion.h>

#include <set>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;
using tests::ScriptedAnswer;
using tests::ScriptedServer;

namespace {

const TimePoint kNow{ 1000s };

std::string Answer(unsigned aStatus, const std::string& aHeaders)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Any\r\n" + aHeaders +
         "Content-Length: 2\r\n\r\nok";
}

/// An entry and targets, each of which gives always the same answer.
struct Bed
{
  boost::asio::io_context mContext{ 1 };
  Entry mEntry{ mContext, tests::EntrySettingsOf("e1"), tests::PlainAdapter() };
  std::vector<std::unique_ptr<ScriptedServer>> mTargets;

  Bed() { tests::ServeOneRoute(mEntry, RequestKind::Idempotent); }

  void Add(const std::string& aAnswer)
  {
    mTargets.push_back(std::make_unique<ScriptedServer>(
      mContext, [aAnswer](int, const std::string&) -> ScriptedAnswer {
        return { aAnswer };
      }));
    Register(mTargets.size(), 1);
  }

  void Register(std::size_t aNumber, std::int64_t aStarted)
  {
    auto target = tests::TargetAt(
      "t" + std::to_string(aNumber),
      "127.0.0.1:" + std::to_string(mTargets[aNumber - 1]->Port()));
    target.mStarted = aStarted;
    TakeRegistration(mEntry.mRegistry, target, Clock::now());
  }

  HttpResponse Send()
  {
    HttpRequest request;
    request.mTarget = "/x/1";
    request.mHeaders = { { "Host", "a.example" },
                         { "Id", "q1" },
                         { "Time-Left", "2000" } };
    return tests::Forward(mContext, mEntry, std::move(request));
  }

  [[nodiscard]] int Runs(std::size_t aNumber) const
  {
    return mTargets[aNumber - 1]->Requests();
  }
};

const char* const kServed = "Proof: p\r\n";

} // namespace

// Guards against work for a target that says in any answer that it leaves.
Test(target_words, a_target_that_says_that_it_leaves_gets_nothing_more)
{
  for (const auto& answer : { Answer(200, "Proof: p\r\nLeaving: 1\r\n"),
                              Answer(500, "Proof: p\r\nLeaving: 1\r\n"),
                              Answer(503, "Not-Run: 1\r\nLeaving: 1\r\n") }) {
    Bed bed;
    bed.Add(answer);
    (void)bed.Send();
    bed.Add(Answer(200, kServed));
    for (int n = 0; n < 5; ++n) {
      cr_assert_eq(bed.Send().mStatus, 200U);
    }
    cr_assert_eq(bed.Runs(1), 1, "%s", answer.c_str());
  }
}

// A late answer to an earlier request tells as much.
Test(target_words, a_late_answer_that_says_so_counts)
{
  Bed bed;
  bed.Add(Answer(200, "Proof: p\r\nId: q0\r\nLeaving: 1\r\n") +
          Answer(200, "Proof: p\r\nId: q1\r\n"));
  cr_assert_eq(bed.Send().mStatus, 200U);
  cr_assert_eq(bed.Send().mStatus, 503U);
  cr_assert_eq(bed.Runs(1), 1);
}

// Guards against a registration, an old copy of the store or a lapse that
// brings a life back that has said that it leaves.
Test(target_words, a_life_that_leaves_stays_out_whatever_the_registry_says)
{
  Bed bed;
  bed.Add(Answer(200, "Proof: p\r\nLeaving: 1\r\n"));
  cr_assert_eq(bed.Send().mStatus, 200U);
  bed.Register(1, 1);
  cr_assert_eq(bed.Send().mStatus, 503U);
  TakeRemoval(bed.mEntry.mRegistry, "t1", Clock::now());
  bed.Register(1, 1);
  cr_assert_eq(bed.Send().mStatus, 503U);
  // Its next life serves.
  bed.Register(1, 2);
  cr_assert_eq(bed.Send().mStatus, 200U);
}

Test(target_words, a_life_that_was_seen_draining_stays_out)
{
  // Seen ready before, or not.
  for (const bool before : { true, false }) {
    TargetRegistry registry;
    auto target = tests::TargetAt("t1", "127.0.0.1:9");
    if (before) {
      TakeRegistration(registry, target, kNow);
    }
    target.mDraining = true;
    TakeRegistration(registry, target, kNow);
    TakeRemoval(registry, "t1", kNow);
    target.mDraining = false;
    TakeRegistration(registry, target, kNow);
    cr_assert_not(MayServe(registry, *registry.mTargets.at("t1"), kNow));
  }
}

// Guards against requests for a target that wants nothing for a while, and
// against refusals while another takes work.
Test(target_words, a_target_that_wants_nothing_is_left_alone_for_that_time)
{
  Bed bed;
  bed.Add(Answer(503, "Not-Run: 1\r\nPause: 5000\r\n"));
  (void)bed.Send();
  const auto refused = bed.Send();
  cr_assert_eq(refused.mStatus, 503U);
  const auto after =
    std::stod(std::string(FindHeader(refused.mHeaders, "Retry-After")));
  cr_assert_gt(after, 4.0);
  cr_assert_leq(after, 6.0);
  cr_assert_eq(bed.Runs(1), 1);
  bed.Add(Answer(200, kServed));
  for (int n = 0; n < 5; ++n) {
    cr_assert_eq(bed.Send().mStatus, 200U);
  }
  cr_assert_eq(bed.Runs(1), 1);
}

Test(target_words, a_pause_counts_with_503_alone_and_must_be_readable)
{
  for (const auto& answer : { Answer(500, "Proof: p\r\nPause: 5000\r\n"),
                              Answer(503, "Not-Run: 1\r\nPause: bad\r\n"),
                              Answer(503, "Not-Run: 1\r\n") }) {
    Bed bed;
    bed.Add(answer);
    (void)bed.Send();
    cr_assert_eq(
      PausedFor(*bed.mEntry.mRegistry.mTargets.at("t1"), Clock::now()).count(),
      0, "%s", answer.c_str());
  }
}

Test(target_words, pauses_end_and_are_bounded)
{
  const TargetPtr target(new LiveTarget);
  cr_assert_not(NotePause(*target, 0ms, 1, kNow));
  cr_assert(NotePause(*target, 2s, 1, kNow));
  cr_assert_geq(PausedFor(*target, kNow).count(), 2'000);
  cr_assert_leq(PausedFor(*target, kNow).count(), 2'250);
  cr_assert_gt(PausedFor(*target, kNow + 1999ms).count(), 0);
  cr_assert_eq(PausedFor(*target, kNow + 2250ms).count(), 0);
  // A shorter word does not end a longer one.
  cr_assert_not(NotePause(*target, 1s, 1, kNow + 500ms));
  cr_assert(NotePause(*target, 24h, 1, kNow));
  cr_assert_leq(PausedFor(*target, kNow), kMaxPause + 1s);
}

Test(target_words, a_pause_of_minutes_is_kept_whole)
{
  // It was cut to a minute, and the target got requests that it wanted not.
  const TargetPtr target(new LiveTarget);
  cr_assert(NotePause(*target, 30min, 1, kNow));
  cr_assert_geq(PausedFor(*target, kNow), 30min);
}

// Guards against all entries coming back in the same moment.
Test(target_words, entries_come_back_one_after_another)
{
  std::set<Millis> ends;
  for (std::uint64_t entry = 1; entry <= 60; ++entry) {
    const TargetPtr target(new LiveTarget);
    NotePause(*target, 4s, entry, kNow);
    ends.insert(PausedFor(*target, kNow));
  }
  cr_assert_gt(ends.size(), 40U);
  cr_assert_gt((*ends.rbegin() - *ends.begin()).count(), 300);
}
