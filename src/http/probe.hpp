#pragma once

/// Asks peers whether they take connections.

#include "http/client.hpp"

#include <vector>

namespace guavaline::detail {

enum class ListenState {
  Listens = 1,
  Refuses,
  Silent, ///< No answer in time.
};

/// @returns a state's name in logs
[[nodiscard]] const char* NameOf(ListenState aState) noexcept;

/// Opens a connection; where that works, it is kept for the next exchange.
[[nodiscard]] boost::asio::awaitable<ListenState> ProbeListener(
  HttpClient& aClient, Endpoint aPeer);

/// Asks several peers at once.
/// @returns true as soon as one of them listens
[[nodiscard]] boost::asio::awaitable<bool> AnyListens(
  HttpClient& aClient, std::vector<Endpoint> aPeers);

} // namespace guavaline::detail
