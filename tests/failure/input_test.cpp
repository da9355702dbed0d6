/// Input that is broken, too large, slow, or without the key.

#include "expect.hpp"

#include "peers/peer_link.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

using namespace guavaline;
using namespace guavaline::testing;

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

ClusterOptions Small(const char* aName)
{
  ClusterOptions out;
  out.mName = aName;
  out.mRegions = 1;
  out.mEntriesPerDomain = 2;
  return out;
}

tcp::endpoint EndpointOf(const Cluster& aCluster)
{
  const auto& entry = aCluster.Accepted().mEntries[0];
  return { asio::ip::make_address(entry.mAddress), entry.mPort };
}

/// Sends raw bytes and reads until the entry closes or the bound passes.
std::string SendRaw(const Cluster& aCluster, const std::string& aBytes)
{
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect(EndpointOf(aCluster));
  boost::system::error_code ec;
  asio::write(socket, asio::buffer(aBytes), ec);
  std::string out(4'096, '\0');
  const auto n = socket.read_some(asio::buffer(out), ec);
  out.resize(n);
  return out;
}

/// @returns the status of an answer; 0 where the connection was closed
int StatusOf(const std::string& aAnswer)
{
  constexpr std::size_t kStatusAt = 9;
  return aAnswer.size() > kStatusAt + 3
           ? std::stoi(aAnswer.substr(kStatusAt, 3))
           : 0;
}

bool IsRefused(const std::string& aAnswer)
{
  const auto status = StatusOf(aAnswer);
  return status == 0 || (status >= 400 && status < 500);
}

asio::awaitable<void> CallOnce(detail::PeerClient& aClient, EntryHost aEntry,
                               detail::PeerReply& aReply)
{
  const detail::Endpoint peer{ aEntry.mAddress, aEntry.mPeerPort };
  aReply = co_await aClient.Call(peer, "heartbeat", "{}", Millis(5'000));
}

std::uint64_t Runs(Cluster& aCluster)
{
  std::uint64_t n = 0;
  for (const auto& it : aCluster.Events().Copy()) {
    if (it.mKind == EventKind::RunStarted) {
      ++n;
    }
  }
  return n;
}

} // namespace

Test(input, ambiguous_framing_reaches_no_target, .timeout = 120)
{
  Cluster cluster(Small("framing"));
  cr_assert(cluster.Start());
  const std::string line = "PUT /v1/services/orders/x HTTP/1.1\r\nHost: a\r\n";
  for (const std::string& it : {
         line + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\n\r\n",
         line + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"
                "0\r\n\r\n",
         line + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
         line + "Content-Length: -1\r\n\r\n",
         line + "Content-Length: 5x\r\n\r\nhello",
         line + "Bad Header: 1\r\n\r\n",
         line + "NoColon\r\n\r\n",
         std::string("PUT /v1/services/orders/x HTTP/1.1\nHost: a\n\n"),
         std::string("PUT  /v1/services/orders/x HTTP/1.1\r\n\r\n"),
         std::string("garbage\r\n\r\n"),
         std::string("GET /v1/services/orders/x HTTP/9.9\r\n\r\n"),
       }) {
    const auto answer = SendRaw(cluster, it);
    cr_expect(IsRefused(answer), "%s answered %s", it.c_str(), answer.c_str());
  }
  cr_assert_eq(Runs(cluster), 0U);
}

Test(input, a_body_cut_short_runs_nowhere, .timeout = 120)
{
  Cluster cluster(Small("cut"));
  cr_assert(cluster.Start());
  {
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(EndpointOf(cluster));
    const std::string half = "PUT /v1/services/orders/x HTTP/1.1\r\n"
                             "Host: a\r\nContent-Length: 100\r\n\r\nhalf";
    asio::write(socket, asio::buffer(half));
  }
  Pause(Millis(500));
  cr_assert_eq(Runs(cluster), 0U);
}

Test(input, oversized_requests_get_a_clear_refusal, .timeout = 120)
{
  Cluster cluster(Small("oversized"));
  cr_assert(cluster.Start());
  const auto header =
    SendRaw(cluster, "GET /v1/services/orders/x HTTP/1.1\r\nHost: a\r\nX: " +
                       std::string(100'000, 'x') + "\r\n\r\n");
  cr_assert_eq(StatusOf(header), 431);
  const auto body =
    SendRaw(cluster, "PUT /v1/services/orders/x HTTP/1.1\r\nHost: a\r\n"
                     "Content-Length: 99999999999\r\n\r\n");
  cr_assert_eq(StatusOf(body), 413, "%s", body.c_str());
  cr_assert_neq(body.find("Guavaline-Ran: no"), std::string::npos);
  cr_assert_eq(Runs(cluster), 0U);
}

Test(input, parameters_cannot_write_headers, .timeout = 120)
{
  Cluster cluster(Small("headers"));
  cr_assert(cluster.Start());
  const auto answer =
    SendRaw(cluster, "GET /v1/lookup?service=orders%0d%0aEvil:%201&place=%0d%0a"
                     " HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert_eq(answer.find("Evil"), std::string::npos, "%s", answer.c_str());
  cr_assert(IsRefused(answer));
}

Test(input, idle_connections_disturb_nobody, .timeout = 180)
{
  Cluster cluster(Small("idle"));
  cr_assert(cluster.Start());
  asio::io_context context;
  std::vector<tcp::socket> idle;
  constexpr int kIdle = 800;
  for (int n = 0; n < kIdle; ++n) {
    idle.emplace_back(context).connect(EndpointOf(cluster));
    // Every other one begins a request and never ends it.
    if (n % 2 == 0) {
      const std::string begun = "GET /v1/services/orders/x HTT";
      asio::write(idle.back(), asio::buffer(begun));
    }
  }
  cluster.StartLoad(cluster.Plan(0.4, Millis(4'000)));
  cluster.AwaitLoad();
  tests::ExpectNoViolation(cluster);
  cr_assert_eq(tests::CountEnds(cluster).mNotRun, 0U);
}

Test(input, operators_and_peers_need_the_key, .timeout = 120)
{
  Cluster cluster(Small("key"));
  cr_assert(cluster.Start());
  for (const auto* it : { "GET /v1/status", "POST /v1/configuration",
                          "POST /v1/log?level=off", "POST /v1/faults" }) {
    for (const auto* key : { "", "Authorization: Bearer wrong\r\n",
                             "Authorization: Bearer \r\n" }) {
      const auto answer =
        SendRaw(cluster, std::string(it) + " HTTP/1.1\r\nHost: a\r\n" + key +
                           "Content-Length: 0\r\n\r\n");
      cr_expect_eq(StatusOf(answer), 401, "%s: %s", it, answer.c_str());
    }
  }
  const auto& entry = cluster.Accepted().mEntries[0];
  asio::io_context context;
  detail::PeerReply reply;
  detail::PeerClient stranger(context.get_executor(), "not-the-right-key",
                              entry.mAddress);
  asio::co_spawn(context, CallOnce(stranger, entry, reply), asio::detached);
  while (reply.mError.mStep.empty() && !reply.mBody) {
    context.run_one();
  }
  cr_assert_not(reply.mBody.has_value());
  cr_assert_eq(reply.mError.mReason, "status 401", "%s",
               reply.mError.mReason.c_str());
}
