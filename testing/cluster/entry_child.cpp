#include "cluster/entry_child.hpp"

#include <boost/process/extend.hpp>
#include <boost/process/handles.hpp>
#include <boost/process/io.hpp>

#include <csignal>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace guavaline::testing {

namespace process = boost::process;

namespace {

constexpr Millis kPoll{ 20 };

process::child StartChild(const std::string& aProgram,
                          const std::string& aSettings, EntryLog aKept,
                          const std::string& aLog)
{
  const std::string dropped = "/dev/null";
  const bool output = aKept == EntryLog::Output;
  return process::child(
    aProgram, "--settings", aSettings, process::limit_handles,
    process::std_out > (output ? aLog : dropped),
    process::std_err > (output ? dropped : aLog),
    process::extend::on_exec_setup = [](auto&) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    });
}

} // namespace

EntryChild::EntryChild(const std::string& aProgram,
                       const std::string& aSettings, EntryLog aKept,
                       const std::string& aLog)
  : mChild(StartChild(aProgram, aSettings, aKept, aLog))
{
}

bool EntryChild::IsRunning()
{
  return mChild.running();
}

void EntryChild::Signal(int aSignal)
{
  if (IsRunning()) {
    ::kill(mChild.id(), aSignal);
  }
}

void EntryChild::Kill()
{
  Signal(SIGKILL);
  mChild.wait();
}

bool EntryChild::AwaitEnd(Millis aBound)
{
  const auto end = Clock::now() + aBound;
  while (IsRunning() && Clock::now() < end) {
    std::this_thread::sleep_for(kPoll);
  }
  return !IsRunning();
}

int EntryChild::ExitCode()
{
  if (IsRunning() || WIFSIGNALED(mChild.native_exit_code())) {
    return -1;
  }
  return mChild.exit_code();
}

std::string LoopbackAddress(LoopbackNets aNets, unsigned aHost)
{
  constexpr unsigned kByte = 256;
  const auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(aNets.mFirst + (pid / kByte) % aNets.mCount) +
         "." + std::to_string(pid % kByte) + "." + std::to_string(aHost);
}

} // namespace guavaline::testing
