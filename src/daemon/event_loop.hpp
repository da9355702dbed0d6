#pragma once

/// Runs the event loop so that an exception ends one handler or task, not the
/// process and with it all requests in flight.

#include <guavaline/core/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>

namespace guavaline::detail {

/// Runs handlers until the context is stopped or has no work. An exception
/// that leaves a handler is logged, and the next handler runs.
void RunEventLoop(boost::asio::io_context& aContext);

/// Makes the coroutine of a task.
using TaskMaker = std::function<boost::asio::awaitable<void>()>;

/// Starts a task that runs for the life of the process. Where an exception
/// ends it, that is logged and the task starts anew after a pause.
/// @param aName  names the task in logs; must outlive it
void SpawnLasting(const boost::asio::any_io_executor& aExecutor,
                  const char* aName, TaskMaker aMake);

} // namespace guavaline::detail
