#include "entry/entry.hpp"

#include "copying_target.hpp"
#include "entry_fixtures.hpp"
#include "fixtures.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <criterion/criterion.h>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;
using tests::CopyingOptions;
using tests::CopyingTarget;
using tests::CopyTime;

namespace {

namespace asio = boost::asio;

constexpr int kRequests = 20;
constexpr CopyTime kTimes[] = { CopyTime::AtArrival, CopyTime::InTwoPieces,
                                CopyTime::Thrice, CopyTime::DuringRun };

std::string Refusal(unsigned aStatus)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Any\r\nNot-Run: 1\r\n";
}

/// An entry with one route and one target.
struct Bed
{
  asio::io_context mContext{ 1 };
  Entry mEntry{ mContext, tests::EntrySettingsOf("e1"), tests::PlainAdapter() };
  CopyingTarget mTarget;

  Bed(RequestKind aKind, CopyingOptions aOptions)
    : mTarget(mContext, std::move(aOptions))
  {
    tests::ServeOneRoute(mEntry, aKind);
    Register("t1");
  }

  void Register(const char* aId, std::int64_t aStarted = 0)
  {
    auto target =
      tests::TargetAt(aId, "127.0.0.1:" + std::to_string(mTarget.Port()));
    target.mStarted = aStarted;
    TakeRegistration(mEntry.mRegistry, target, Clock::now());
  }

  static HttpRequest MakeRequest(const std::string& aId)
  {
    HttpRequest out;
    out.mTarget = "/x/1";
    out.mArrived = Clock::now();
    out.mHeaders = { { "Host", "a.example" },
                     { "Id", aId },
                     { "Time-Left", "2000" } };
    return out;
  }

  HttpResponse Send(const std::string& aId)
  {
    return tests::Forward(mContext, mEntry, MakeRequest(aId));
  }

  /// Sends requests at once and waits for all answers.
  std::vector<HttpResponse> SendAll(const std::vector<std::string>& aIds)
  {
    std::vector<HttpResponse> out(aIds.size());
    std::size_t open = aIds.size();
    for (std::size_t n = 0; n < aIds.size(); ++n) {
      asio::co_spawn(
        mContext,
        [&, n]() -> asio::awaitable<void> {
          out[n] = co_await ForwardRequest(mEntry, MakeRequest(aIds[n]));
          if (--open == 0) {
            mContext.stop();
          }
        },
        asio::detached);
    }
    mContext.restart();
    mContext.run();
    return out;
  }
};

/// Statuses that promise that a request has not run.
bool IsPromise(unsigned aStatus)
{
  return aStatus == 503 || aStatus == 429 || aStatus == 421;
}

} // namespace

// Guards against "not run" for a request that runs: its caller comes again with
// the id, and the target writes its first refusal once more.
Test(copied_answers, a_refusal_is_no_answer_to_the_request_that_comes_again)
{
  for (const unsigned status : { 503U, 429U }) {
    for (const auto time : kTimes) {
      Bed bed(RequestKind::NonIdempotent, { time, Refusal(status) });
      int falsePromises = 0;
      for (int n = 0; n < kRequests; ++n) {
        const auto id = "q" + std::to_string(n);
        cr_assert_eq(bed.Send(id).mStatus, 503U);
        cr_assert_eq(bed.mTarget.Runs(id), 0);
        const auto again = bed.Send(id).mStatus;
        falsePromises += IsPromise(again) && bed.mTarget.Runs(id) > 0 ? 1 : 0;
        cr_assert_leq(bed.mTarget.Runs(id), 1);
      }
      cr_assert_eq(falsePromises, 0, "status %u, manner %d: %d of %d", status,
                   static_cast<int>(time), falsePromises, kRequests);
    }
  }
}

// The same, for requests whose ids two callers share, and for one that is under
// way several times at once.
Test(copied_answers, requests_of_one_id_at_once_get_their_own_answers)
{
  Bed bed(RequestKind::NonIdempotent, {});
  for (int n = 0; n < kRequests; ++n) {
    const auto id = "q" + std::to_string(n);
    cr_assert_eq(bed.Send(id).mStatus, 503U);
    for (const auto& it : bed.SendAll({ id, id, id })) {
      cr_assert_eq(it.mStatus, 200U);
      cr_assert_eq(it.mBody, "again");
    }
    cr_assert_eq(bed.mTarget.Runs(id), 3);
  }
}

// Guards against the failure or the success of an earlier run in the place of
// the answer to a read that comes again.
Test(copied_answers, a_read_that_comes_again_gets_the_answer_of_its_own_run)
{
  for (const unsigned status : { 200U, 500U, 504U }) {
    for (const auto time : kTimes) {
      CopyingOptions options;
      options.mTime = time;
      options.mFirstHead =
        "HTTP/1.1 " + std::to_string(status) + " Any\r\nProof: p\r\n";
      options.mFirstRuns = true;
      Bed bed(RequestKind::Idempotent, options);
      for (int n = 0; n < kRequests; ++n) {
        const auto id = "q" + std::to_string(n);
        cr_assert_eq(bed.Send(id).mStatus, status);
        const auto again = bed.Send(id);
        cr_assert_eq(again.mStatus, 200U);
        cr_assert_eq(again.mBody, "again", "status %u, manner %d", status,
                     static_cast<int>(time));
      }
    }
  }
}

// Guards against belief in "another target at this address" from a copy.
Test(copied_answers, a_copied_word_of_another_target_is_not_believed)
{
  Bed bed(RequestKind::NonIdempotent,
          { CopyTime::AtArrival, "HTTP/1.1 421 Any\r\n" });
  cr_assert_eq(bed.Send("q1").mStatus, 503U);
  bed.Register("t1", 2);
  cr_assert_eq(bed.Send("q1").mStatus, 200U);
  cr_assert_not(bed.mEntry.mRegistry.mTargets.at("t1")->mLeft);
}

// Guards against the same in the entry's own retry: the target that a request
// names has left its address to another one, which turns it away and then gets
// the retry.
Test(copied_answers, a_retry_at_the_address_that_turned_it_away_is_answered)
{
  Bed bed(RequestKind::NonIdempotent,
          { CopyTime::AtArrival, "HTTP/1.1 421 Any\r\n" });
  bed.Register("t2");
  cr_assert_eq(bed.Send("q1").mStatus, 200U);
  cr_assert_eq(bed.mTarget.Runs("q1"), 1);
}

// Guards against a connection for each request: a full target refuses
// thousands, and others go on over the connections that it refused on.
Test(copied_answers, connections_that_refused_carry_other_requests)
{
  Bed bed(RequestKind::NonIdempotent, {});
  constexpr int kMany = 2'000;
  for (int n = 0; n < kMany; ++n) {
    cr_assert_eq(bed.Send("q" + std::to_string(n)).mStatus, 503U);
  }
  cr_assert_leq(bed.mTarget.Connections(), 4);
}
