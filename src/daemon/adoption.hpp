#pragma once

/// How an entry gets the accepted configuration and takes it into force.

#include "daemon/node.hpp"

namespace guavaline::detail {

/// Takes a configuration into force if it is newer than the one held.
/// @param aSource  where it came from, for the log
/// @returns true where it was taken
bool Adopt(Node& aNode, std::uint64_t aVersion, const std::string& aStored,
           const std::string& aSource);

/// Makes newly owned slots usable once every entry has the version in force.
void SettleAssignment(Node& aNode, TimePoint aNow);

/// Keeps up with the store; runs until the process stops.
boost::asio::awaitable<void> FollowStore(Node& aNode);

/// Reads the platform's list of hosts from time to time.
boost::asio::awaitable<void> FollowHostList(Node& aNode);

/// Asks a peer for a configuration newer than the one held.
boost::asio::awaitable<void> FetchFrom(Node& aNode, Endpoint aPeer);

} // namespace guavaline::detail
