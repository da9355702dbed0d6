/// Cost of an entry's forwarding against a bare relay made of the same HTTP
/// server and client: requests a second of one core each, and the latency
/// that each adds to a direct connection.

#include "cluster/cluster.hpp"
#include "http/client.hpp"
#include "http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>

#include <algorithm>
#include <cstdio>
#include <future>

using namespace guavaline;
using namespace guavaline::testing;
using namespace guavaline::detail;

namespace asio = boost::asio;

namespace {

constexpr Seconds kTime{ 5 };
constexpr int kCallers = 16;

/// A relay without any decision.
class BareRelay
{
public:
  BareRelay(const std::string& aAddress, Endpoint aTarget)
    : mClient(mContext.get_executor())
    , mTarget(std::move(aTarget))
  {
    const auto problem = mServer.Listen(
      mContext, aAddress, 0,
      [this](HttpRequest a) { return Relay(std::move(a)); },
      HttpServerLimits{});
    if (!problem.empty()) {
      std::printf("%s\n", problem.c_str());
    }
    mThread = std::thread([this] {
      const auto work = asio::make_work_guard(mContext);
      mContext.run();
    });
  }
  ~BareRelay()
  {
    mContext.stop();
    mThread.join();
  }
  BareRelay(const BareRelay&) = delete;
  BareRelay& operator=(const BareRelay&) = delete;
  BareRelay(BareRelay&&) = delete;
  BareRelay& operator=(BareRelay&&) = delete;

  [[nodiscard]] std::uint16_t Port() const { return mServer.Port(); }

private:
  asio::awaitable<HttpResponse> Relay(HttpRequest aRequest)
  {
    std::erase_if(aRequest.mHeaders, [](const Header& a) {
      return IsHopByHop(a.mName) || a.mName == "Host";
    });
    ExchangeOptions options;
    options.mDeadline = Clock::now() + Seconds(5);
    const auto result =
      co_await mClient.Exchange(mTarget, std::move(aRequest), options);
    HttpResponse out = result.mResponse.value_or(HttpResponse{ 502, {}, {} });
    std::erase_if(out.mHeaders,
                  [](const Header& a) { return IsHopByHop(a.mName); });
    co_return out;
  }

  asio::io_context mContext;
  HttpClient mClient;
  Endpoint mTarget;
  HttpServer mServer;
  std::thread mThread;
};

struct Figures
{
  double mPerSecond = 0;
  double mP50Micros = 0;
  double mP99Micros = 0;
};

struct Shared
{
  std::vector<double> mMicros;
  std::uint64_t mAnswered = 0;
};

asio::awaitable<void> CallInLoop(HttpClient& aClient, Endpoint aEndpoint,
                                 std::string aPath, TimePoint aEnd,
                                 Shared& aShared)
{
  while (Clock::now() < aEnd) {
    HttpRequest request;
    request.mTarget = aPath;
    ExchangeOptions options;
    options.mDeadline = Clock::now() + Seconds(5);
    const auto started = Clock::now();
    const auto result =
      co_await aClient.Exchange(aEndpoint, std::move(request), options);
    const std::chrono::duration<double, std::micro> time =
      Clock::now() - started;
    if (result.mResponse && result.mResponse->mStatus == 200) {
      ++aShared.mAnswered;
      aShared.mMicros.push_back(time.count());
    }
  }
}

Figures Measure(const Endpoint& aEndpoint, const std::string& aPath,
                int aCallers)
{
  asio::io_context context(1);
  HttpClient client(context.get_executor());
  Shared shared;
  const auto end = Clock::now() + kTime;
  for (int n = 0; n < aCallers; ++n) {
    asio::co_spawn(context, CallInLoop(client, aEndpoint, aPath, end, shared),
                   asio::detached);
  }
  context.run();
  std::sort(shared.mMicros.begin(), shared.mMicros.end());
  Figures out;
  if (!shared.mMicros.empty()) {
    out.mPerSecond = static_cast<double>(shared.mAnswered) /
                     static_cast<double>(kTime.count());
    out.mP50Micros = shared.mMicros[shared.mMicros.size() / 2];
    out.mP99Micros = shared.mMicros[shared.mMicros.size() * 99 / 100];
  }
  return out;
}

void Show(const char* aName, const Figures& aFigures)
{
  std::printf("%-34s %9.0f/s  p50 %7.0f us  p99 %7.0f us\n", aName,
              aFigures.mPerSecond, aFigures.mP50Micros, aFigures.mP99Micros);
}

} // namespace

int main()
{
  ClusterOptions options;
  options.mName = "relay-bench";
  options.mRegions = 1;
  options.mEntriesPerDomain = 1;
  options.mTargetsPerDomain = 4;
  options.mSlots = 16;
  options.mMeanMs = 0;
  Cluster cluster(options);
  if (!cluster.Start()) {
    std::printf("the deployment did not start\n");
    return 1;
  }
  const auto& entry = cluster.Accepted().mEntries[0];
  const auto& target = cluster.Accepted().mServices[0].mTargets[0];
  const Endpoint direct{ target.mAddress, target.mPort };
  const BareRelay relay(entry.mAddress, direct);
  const Endpoint bare{ entry.mAddress, relay.Port() };
  const Endpoint whole{ entry.mAddress, entry.mPort };
  std::printf("%d callers in a closed loop, %ld s each\n", kCallers,
              static_cast<long>(kTime.count()));
  Show("direct", Measure(direct, "/x", kCallers));
  const auto bareFigures = Measure(bare, "/x", kCallers);
  Show("bare relay", bareFigures);
  const auto entryFigures = Measure(whole, "/v1/services/orders/x", kCallers);
  Show("entry", entryFigures);
  std::printf("entry over bare relay: %.2f\n",
              entryFigures.mPerSecond / bareFigures.mPerSecond);
  Show("look-up",
       Measure(whole, "/v1/lookup?service=orders&place=region1", kCallers));
  std::printf("one caller:\n");
  Show("direct", Measure(direct, "/x", 1));
  Show("bare relay", Measure(bare, "/x", 1));
  Show("entry", Measure(whole, "/v1/services/orders/x", 1));
  return 0;
}
