#pragma once

/// Heartbeats between entries, and the answers to peers' calls.

#include "daemon/node.hpp"

namespace guavaline::detail {

/// Sends heartbeats each period; runs until the process stops.
boost::asio::awaitable<void> SendHeartbeats(Node& aNode);

/// Sends one heartbeat to every peer, as before leaving.
boost::asio::awaitable<void> TellEveryone(Node& aNode);

/// Answers one call of a peer.
boost::asio::awaitable<std::optional<std::string>> AnswerPeer(
  Node& aNode, std::string aKind, std::string aBody);

} // namespace guavaline::detail
