#pragma once

/// Finds out which requests crash targets: tells crashed targets from those
/// that lost an answer, and from those that failed with their domain.

#include "daemon/node.hpp"

namespace guavaline::detail {

/// Names one target of a service.
struct TargetName
{
  std::string mService;
  std::string mTarget;
};

/// Counts a run at a target while it lives.
class RunCount
{
public:
  RunCount(Node& aNode, TargetName aTarget, std::uint64_t aDigest,
           TimePoint aNow);
  ~RunCount();
  RunCount(const RunCount&) = delete;
  RunCount& operator=(const RunCount&) = delete;
  RunCount(RunCount&&) = delete;
  RunCount& operator=(RunCount&&) = delete;

private:
  Node& mNode;
  boost::asio::io_context& mContext; ///< Outlives the node.
  TargetName mTarget;
  std::uint64_t mRun = 0;
};

/// Notes a run that ended without an answer. The target is asked whether it
/// still takes connections; where it does not and others of its failure domain
/// do, it has crashed.
void NoteBrokenRun(Node& aNode, const TargetName& aTarget,
                   const BrokenRun& aRun);

/// Notes that a target did not take a connection; where runs had no answer
/// there, it is asked once more.
void NoteFailedConnection(Node& aNode, const TargetName& aTarget);

/// @returns true where a refused request may be sent once more, to show whether
///          it crashes targets; one entry of all may do so
[[nodiscard]] bool MayTry(Node& aNode, std::uint64_t aDigest, TimePoint aNow);

} // namespace guavaline::detail
