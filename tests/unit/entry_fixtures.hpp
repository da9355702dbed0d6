#pragma once

/// Entries with one route, and targets on loopback, for tests.

#include "entry/entry.hpp"

#include <boost/asio/io_context.hpp>

namespace guavaline::tests {

/// @returns an adapter whose fields are named "Id", "Time-Left", "Target",
///          "Not-Run", "Load", "Proof", "Limit", "Leaving", "Pause" (in
///          milliseconds), "Key" and "Account"
detail::PlatformAdapter PlainAdapter();

/// Brings a route "a.example/x/" to "service" into force, with fresh views.
void ServeOneRoute(detail::Entry& aEntry, RequestKind aKind);

/// @returns a target of four slots in failure domain "d1"
Registration TargetAt(const std::string& aId, const std::string& aAddress,
                      const char* aService = "service");

/// Lets an entry hear other entries, and exchange heartbeats with them.
void StartPeering(boost::asio::io_context& aContext, detail::Entry& aEntry);

/// Forwards a request and waits for the answer.
detail::HttpResponse Forward(boost::asio::io_context& aContext,
                             detail::Entry& aEntry,
                             detail::HttpRequest aRequest);

} // namespace guavaline::tests
