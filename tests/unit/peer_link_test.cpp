#include "cluster/ports.hpp"
#include "peers/peer_link.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <criterion/criterion.h>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;

/// A peer that answers calls with their own text.
struct Bed
{
  asio::io_context mContext{ 1 };
  PeerClient mClient{ mContext.get_executor(), "", "127.0.0.1" };
  PeerServer mServer;

  Bed(const std::string& aAddress, const std::string& aKey)
    : mAt{ aAddress, testing::PortPicker().Pick(aAddress) }
  {
    const auto problem = mServer.Listen(
      mContext, aAddress, mAt.mPort, aKey,
      [](std::string, std::string aBody)
        -> asio::awaitable<std::optional<std::string>> { co_return aBody; },
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
