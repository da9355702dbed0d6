/// Answers without a length whose connection ends during a long upload.

#include "cutting_target.hpp"
#include "http/client.hpp"
#include "http/stream_end.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/error.hpp>

#include <criterion/criterion.h>

#include <random>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;
using tests::CutManner;
using tests::CutPlan;
using tests::CuttingTarget;

namespace {

namespace asio = boost::asio;

constexpr std::size_t kUpload = 400'000;
constexpr std::size_t kMinAnswer = 15;
constexpr std::size_t kMaxAnswer = 60'000;
constexpr int kMaxDelayMs = 500;

asio::awaitable<ExchangeResult> Upload(HttpClient& aClient, Endpoint aEndpoint)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mBody = std::string(kUpload, 'u');
  ExchangeOptions options;
  options.mDeadline = Clock::now() + 20s;
  options.mUnframedBody = true;
  co_return co_await aClient.Exchange(std::move(aEndpoint), std::move(request),
                                      std::move(options));
}

struct Outcomes
{
  int mWhole = 0; ///< Passed as whole.
  int mNone = 0;
  std::size_t mBytes = 0; ///< Of the bodies that passed.
  std::size_t mSent = 0;  ///< Of all bodies.
};

/// Uploads over many connections at once, each cut in a manner after a time
/// and a number of bytes from a fixed seed.
Outcomes UploadMany(CutManner aManner, int aTimes, std::uint64_t aSeed)
{
  asio::io_context context(1);
  std::mt19937_64 random(aSeed);
  std::vector<CutPlan> plans;
  for (int n = 0; n < aTimes; ++n) {
    CutPlan plan;
    plan.mManner = aManner;
    plan.mBodyBytes = kMinAnswer + random() % (kMaxAnswer - kMinAnswer);
    plan.mDelay = Millis(random() % (kMaxDelayMs + 1));
    plan.mReadsOn = random() % 2 == 0;
    plans.push_back(plan);
  }
  CuttingTarget target(
    context, [&](int n) { return plans[static_cast<std::size_t>(n)]; });
  HttpClient client(context.get_executor());
  Outcomes out;
  int done = 0;
  for (int n = 0; n < aTimes; ++n) {
    asio::co_spawn(context, Upload(client, { "127.0.0.1", target.Port() }),
                   [&](const std::exception_ptr&, const ExchangeResult& a) {
                     (a.mResponse ? out.mWhole : out.mNone) += 1;
                     out.mBytes += a.mResponse ? a.mResponse->mBody.size() : 0;
                     if (++done == aTimes) {
                       context.stop();
                     }
                   });
  }
  context.run();
  for (const auto& it : plans) {
    out.mSent += it.mBodyBytes;
  }
  return out;
}

} // namespace

// Guards against a part of a body that passes as the whole of it: the send got
// the reset, and the read an end in order.
Test(cut_answers, a_reset_during_an_upload_is_no_end_of_a_body, .timeout = 120)
{
  const auto out = UploadMany(CutManner::Reset, 400, 40);
  cr_assert_eq(out.mWhole, 0, "%d of 400 passed as whole", out.mWhole);
}

// Guards against the loss of whole answers: the peer's system resets what
// arrives after the close, and the send fails as well.
Test(cut_answers, an_end_in_order_during_an_upload_stays_whole, .timeout = 120)
{
  for (const auto it :
       { CutManner::Close, CutManner::HalfClose, CutManner::HalfCloseUnread }) {
    const auto out = UploadMany(it, 100, 41);
    cr_assert_eq(out.mNone, 0, "manner %d: %d of 100 lost",
                 static_cast<int>(it), out.mNone);
    cr_assert_eq(out.mBytes, out.mSent, "manner %d", static_cast<int>(it));
  }
}

Test(cut_answers, an_end_that_was_not_seen_is_not_in_order)
{
  const boost::system::error_code none;
  const boost::system::error_code cut = asio::error::connection_reset;
  const boost::system::error_code closed = asio::error::broken_pipe;
  const boost::system::error_code silent = asio::error::timed_out;
  cr_assert(EndedInOrder({ true, true, none }, none));
  cr_assert(EndedInOrder({ true, true, none }, silent));
  cr_assert(EndedInOrder({ false, true, closed }, none));
  cr_assert(EndedInOrder({ false, true, none }, closed));
  cr_assert_not(EndedInOrder({ false, true, none }, none));
  cr_assert_not(EndedInOrder({ false, true, cut }, none));
  cr_assert_not(EndedInOrder({ false, true, none }, cut));
  cr_assert_not(EndedInOrder({ false, true, silent }, closed));
  cr_assert_not(EndedInOrder({ false, true, none }, silent));
}

Test(cut_answers, without_connection_states_only_errors_show_a_cut)
{
  const boost::system::error_code none;
  const boost::system::error_code cut = asio::error::connection_reset;
  cr_assert(EndedInOrder({ false, false, none }, none));
  cr_assert_not(EndedInOrder({ false, false, cut }, none));
  cr_assert_not(EndedInOrder({ false, false, none }, cut));
}
