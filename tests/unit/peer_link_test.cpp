#include "cluster/ports.hpp"
#include "peers/peer_link.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <criterion/criterion.h>

#include <stdexcept>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;

asio::awaitable<std::optional<std::string>> Echo(std::string, std::string aBody)
{
  co_return aBody;
}

asio::awaitable<std::optional<std::string>> Throw(std::string, std::string)
{
  throw std::length_error("any");
  co_return std::nullopt;
}

/// A peer; by default one that answers calls with their own text.
struct Bed
{
  asio::io_context mContext{ 1 };
  PeerClient mClient{ mContext.get_executor(), "", "127.0.0.1" };
  PeerServer mServer;

  Bed(const std::string& aAddress, const std::string& aKey,
      PeerHandler aHandler = Echo)
    : mAt{ aAddress, testing::PortPicker().Pick(aAddress) }
  {
    const auto problem =
      mServer.Listen(mContext, aAddress, mAt.mPort, aKey, std::move(aHandler),
                     [](const std::string&) { return true; });
    cr_assert(problem.empty(), "%s", problem.c_str());
  }

  PeerReply Call(const std::string& aKey)
  {
    PeerReply out;
    asio::co_spawn(
      mContext,
      [&]() -> asio::awaitable<void> {
        out = co_await mClient.Call(mAt, "kind", "text", 1s, aKey);
        mContext.stop();
      },
      asio::detached);
    mContext.restart();
    mContext.run();
    return out;
  }

  Endpoint mAt;
};

} // namespace

// Pattern: all entries restart together. Each lists records that others are
// about to replace, and calls them with keys of their earlier lives first.
Test(peer_link, a_call_with_an_old_key_does_not_spoil_the_connection)
{
  Bed bed("127.9.1.1", "new");
  cr_assert_eq(bed.Call("old").mError.mReason, "status 401");
  const auto reply = bed.Call("new");
  cr_assert(reply.mBody, "%s", reply.mError.Describe().c_str());
  cr_assert_eq(*reply.mBody, "text");
}

Test(peer_link, each_call_needs_the_key)
{
  Bed bed("127.9.1.2", "new");
  cr_assert(bed.Call("new").mBody);
  cr_assert_not(bed.Call("old").mBody);
  cr_assert_not(bed.Call("").mBody);
}

Test(peer_link, an_exception_of_a_handler_ends_its_call_alone)
{
  // It left the event loop and ended the process.
  Bed bed("127.9.1.3", "new", Throw);
  cr_assert_eq(bed.Call("new").mError.mReason, "status 404");
  cr_assert_eq(bed.Call("new").mError.mReason, "status 404");
}

Test(peer_link, a_client_that_reached_no_peer_ends_in_order)
{
  // A process that knew a record of an entry that was gone aborted at its end.
  Bed bed("127.9.1.4", "new");
  bed.mServer.Close();
  cr_assert_eq(bed.Call("new").mError.mStep, "connect");
}
