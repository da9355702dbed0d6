/// Case 8: a backend asks for a pause, and its registration goes and comes back
/// while it lives on.

#include "deployment.hpp"

#include <filesystem>
#include <iostream>

namespace {

using namespace review;

constexpr unsigned kBackends = 4;
constexpr unsigned kClients = 8;
constexpr Millis kWork{ 100 };
/// Time until the backend asks for its pause.
constexpr Millis kBefore{ 5'000 };
constexpr double kPauseSeconds = 30;
/// The rule's window begins this long after the answer.
constexpr double kWindowFrom = 0.5;
constexpr unsigned kAllowed = 2;
/// Three liveness report intervals of 1500 ms without a report.
constexpr Millis kSilence{ 4'500 };
/// The backend reaches the store again, and reports at once.
constexpr Millis kAway{ 2'000 };
constexpr Millis kAfter{ 26'000 };

struct Case
{
  explicit Case(const std::string& aRecord)
    : mRecord(aRecord)
    , mStore(mContext)
  {
  }

  asio::io_context mContext{ 1 };
  Record mRecord;
  Store mStore;
  std::mt19937 mRandom{ std::random_device{}() };
  std::vector<std::shared_ptr<Backend>> mBackends;
  std::unique_ptr<Entry> mEntry;
  bool mWantsPause = false;
  double mPausedAt = -1; ///< When it answered 503 with Retry-After.
  bool mStopping = false;
  unsigned mSent = 0;
  unsigned mServed = 0;
  unsigned mLate = 0; ///< Requests inside the window.
  int mResult = 2;
};

/// Turns the first request away once it wants a pause; serves all others, as
/// it may be asked again after the pause.
Task<bool> MaybeRefuse(Case& aCase, tcp::socket& aSocket,
                       const Message& aRequest)
{
  const auto id = aRequest.Field("x-request-id");
  if (aCase.mPausedAt >= 0) {
    const double since = aCase.mRecord.Now() - aCase.mPausedAt;
    if (since > kWindowFrom && since < kPauseSeconds) {
      ++aCase.mLate;
      aCase.mRecord.Note("request " + id + " reaches i-100 " +
                         std::to_string(since) +
                         " s after it asked for a pause of 30 s");
    }
    co_return false;
  }
  if (!aCase.mWantsPause) {
    co_return false;
  }
  aCase.mPausedAt = aCase.mRecord.Now();
  aCase.mRecord.Note("i-100 answers " + id + " 503, Retry-After: 30");
  std::string text = "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + id +
                     "\r\nX-Not-Executed: 1\r\nRetry-After: 30\r\n"
                     "Connection: close\r\nContent-Length: 0\r\n\r\n";
  co_await Write(aSocket, std::move(text));
  co_return true;
}

Task<void> RunClient(Case& aCase, unsigned aClient)
{
  std::uniform_int_distribution<int> pause(50, 200);
  std::uniform_int_distribution<int> object(0, 63);
  std::unique_ptr<tcp::socket> socket;
  std::string buffer;
  for (unsigned n = 0; !aCase.mStopping; ++n) {
    co_await Sleep(Millis(pause(aCase.mRandom)));
    if (!socket) {
      socket = std::make_unique<tcp::socket>(aCase.mContext);
      buffer.clear();
      boost::system::error_code ec;
      co_await socket->async_connect(
        aCase.mEntry->Front(), asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        socket.reset();
        continue;
      }
    }
    ++aCase.mSent;
    const auto id = "g" + std::to_string(aClient) + "-" + std::to_string(n);
    std::string text =
      "GET /lohu930/" + std::to_string(n) +
      " HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id +
      "\r\nCookie: X-Affinity-Key=" + std::to_string(object(aCase.mRandom)) +
      "\r\nX-Deadline-Ms: 3000\r\n\r\n";
    bool answered = co_await Write(*socket, std::move(text));
    Message answer;
    if (answered) {
      answered = co_await ReadMessage(*socket, buffer, answer);
    }
    if (!answered) {
      socket.reset();
      continue;
    }
    const auto status = answer.mFirst.substr(9, 3);
    aCase.mServed += status == "200" ? 1 : 0;
    aCase.mRecord.Note("answered " + id + " " + status);
    if (answer.Field("connection") == "close") {
      socket.reset();
    }
  }
}

Task<void> Play(Case& aCase, bool aTrouble)
{
  aCase.mEntry->Start();
  const bool ready = co_await AwaitReady(*aCase.mEntry, Millis(5'000));
  if (!ready) {
    aCase.mRecord.Note("the entry is not ready");
    aCase.mContext.stop();
    co_return;
  }
  for (unsigned n = 0; n < kClients; ++n) {
    asio::co_spawn(aCase.mContext, RunClient(aCase, n), asio::detached);
  }
  co_await Sleep(kBefore);
  aCase.mWantsPause = true;
  while (aCase.mPausedAt < 0) {
    co_await Sleep(Millis(10));
  }
  // The path from the backend to the store is cut; that to the entry is not.
  co_await Sleep(kSilence);
  auto& backend = *aCase.mBackends.front();
  if (aTrouble) {
    aCase.mRecord.Note("the store removes the silent i-100");
    aCase.mStore.Remove("servers", backend.mId);
  }
  co_await Sleep(kAway);
  aCase.mRecord.Note("i-100 reports again, the same life");
  aCase.mStore.Put("servers", backend.mId, backend.Registration("lowell-a"));
  const double left = kPauseSeconds - (aCase.mRecord.Now() - aCase.mPausedAt);
  co_await Sleep(std::min(kAfter, Millis(static_cast<int>(left * 1'000))));
  aCase.mStopping = true;
  aCase.mResult = aCase.mLate > kAllowed ? 1 : 0;
  aCase.mContext.stop();
}

} // namespace

int main(int argc, char** argv)
{
  const bool trouble = argc > 1 && std::string(argv[1]) != "0";
  const std::string folder = MakeFolder();
  int result = 2;
  try {
    Case test(argc > 2 ? argv[2] : "/dev/null");
    const auto net = static_cast<std::uint32_t>(test.mRandom());
    const auto where = [&](unsigned aHost, unsigned short aPort) {
      return tcp::endpoint(asio::ip::make_address(LoopbackAddress(net, aHost)),
                           aPort);
    };
    test.mStore.Listen(where(2, 8169));
    for (unsigned n = 0; n < kBackends; ++n) {
      auto backend = std::make_shared<Backend>();
      backend->mId = "i-" + std::to_string(100 + n);
      backend->mService = "wuno96b";
      backend->mWhere = where(10 + n, 8080);
      backend->mSlots = 6;
      backend->mWork = kWork;
      backend->mBorn = 1'700'000'000'000 + n;
      if (n == 0) {
        backend->mInstead = [&](Backend&, tcp::socket& aSocket,
                                const Message& aRequest) {
          return MaybeRefuse(test, aSocket, aRequest);
        };
      }
      ServeBackend(test.mContext, backend);
      test.mStore.Put("servers", backend->mId,
                      backend->Registration("lowell-a"));
      test.mBackends.push_back(std::move(backend));
    }
    json::array routes;
    routes.push_back(
      RouteSpec("r-get", "/lohu930/", "idempotent", "wuno96b", "2000ms"));
    test.mStore.Put("config", "main",
                    Configuration("00000001", routes, { "wuno96b" }));
    test.mEntry = std::make_unique<Entry>(
      "edge-lowell-a-1", LoopbackAddress(net, 1), "lowell-a",
      LoopbackAddress(net, 2) + ":8169", 260, folder);
    asio::co_spawn(test.mContext, Play(test, trouble), asio::detached);
    test.mContext.run();
    result = test.mResult;
    const auto summary = "sent " + std::to_string(test.mSent) + ", served " +
                         std::to_string(test.mServed) +
                         ", reached the backend in its pause " +
                         std::to_string(test.mLate) + ": " +
                         (result == 0   ? "the rule held"
                          : result == 1 ? "the rule was broken"
                                        : "could not run");
    test.mRecord.Note(summary);
    std::cout << summary << std::endl;
    test.mEntry.reset();
  } catch (const std::exception& e) {
    std::cerr << "could not run: " << e.what() << std::endl;
    result = 2;
  }
  std::filesystem::remove_all(folder);
  return result;
}
