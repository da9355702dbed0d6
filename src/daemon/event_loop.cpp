#include "daemon/event_loop.hpp"

#include "daemon/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

constexpr Millis kRestartPause{ 100 };

/// @returns true where the task is to start anew
asio::awaitable<bool> RunTask(const char* aName, const TaskMaker& aMake)
{
  try {
    co_await aMake();
    co_return false;
  } catch (const std::exception& e) {
    Log(LogLevel::Error, "task_failed",
        { { "task", aName }, { "error", e.what() } });
  }
  co_return true;
}

asio::awaitable<void> KeepRunning(asio::any_io_executor aExecutor,
                                  const char* aName, TaskMaker aMake)
{
  while (co_await RunTask(aName, aMake)) {
    asio::steady_timer pause(aExecutor, kRestartPause);
    co_await pause.async_wait(asio::use_awaitable);
  }
}

} // namespace

void RunEventLoop(asio::io_context& aContext)
{
  while (true) {
    try {
      aContext.run();
      return;
    } catch (const std::exception& e) {
      Log(LogLevel::Error, "handler_failed", { { "error", e.what() } });
    }
  }
}

void SpawnLasting(const asio::any_io_executor& aExecutor, const char* aName,
                  TaskMaker aMake)
{
  asio::co_spawn(aExecutor, KeepRunning(aExecutor, aName, std::move(aMake)),
                 asio::detached);
}

} // namespace guavaline::detail
