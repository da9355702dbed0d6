#pragma once

/// Entries of test deployments as processes of their own, and the loopback
/// addresses that a test process has to itself.

#include <guavaline/core/time.hpp>

#include <boost/process/child.hpp>

#include <string>

namespace guavaline::testing {

/// What an entry's process prints and where that goes.
enum class EntryLog {
  Output = 1, ///< Standard output; standard error is dropped.
  Errors,     ///< Standard error; standard output is dropped.
};

/// A running entry. It ends with this process, also where a failed assertion
/// leaves a test without running destructors. It must not inherit the
/// stand-ins' sockets, which would stay open in it after a stand-in closed
/// them.
class EntryChild
{
public:
  /// Starts a program with "--settings PATH".
  EntryChild(const std::string& aProgram, const std::string& aSettings,
             EntryLog aKept, const std::string& aLog);

  [[nodiscard]] bool IsRunning();
  /// Sends a signal if the process still runs.
  void Signal(int aSignal);
  /// Ends the process at once.
  void Kill();
  /// Waits for the end of the process.
  /// @returns false where it still runs at the bound
  [[nodiscard]] bool AwaitEnd(Millis aBound);
  /// @returns the exit code; -1 where the process runs or was ended by a signal
  [[nodiscard]] int ExitCode();

private:
  boost::process::child mChild;
};

/// A range of second bytes of loopback addresses.
struct LoopbackNets
{
  unsigned mFirst = 0;
  unsigned mCount = 0;
};

/// @returns a loopback address that no other test process picks from these
///          nets at the same time
[[nodiscard]] std::string LoopbackAddress(LoopbackNets aNets, unsigned aHost);

} // namespace guavaline::testing
