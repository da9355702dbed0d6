#pragma once

/// The runs of one target that have had no answer. When something shows that
/// the target's life has ended, they tell which requests may have crashed it.

#include <guavaline/crashes/crash_table.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace guavaline {

/// How a run ended that had no answer.
enum class RunEnd {
  Broke = 1, ///< With its connection.
  Unseen,    ///< With its time limit, or its caller left.
};

/// A run that ended without an answer.
struct BrokenRun
{
  std::uint64_t mDigest = 0; ///< Of the request.
  TimePoint mStarted{};
  TimePoint mEnded{};
  RunEnd mEnd = RunEnd::Broke;
};

/// What shows that a life of a target has ended.
enum class EndSign {
  RefusesConnections = 1,
  Silent,      ///< New connections get no answer, those to others do.
  AnotherLife, ///< Another one registers under its id or at its address.
};

/// @returns a sign's name in logs
[[nodiscard]] const char* NameOf(EndSign aSign) noexcept;

/// What others of a target's failure domain show.
enum class DomainState {
  Serves = 1,
  Failed,  ///< None of those asked takes connections.
  Unknown, ///< There is no other that the same requests cannot have crashed.
};

/// Others of a failure domain that are asked whether all of it has failed.
inline constexpr std::size_t kMaxSiblings = 3;

/// The runs of one life of a target, as one entry sees them.
struct RunWatch
{
  struct Run
  {
    std::uint64_t mDigest = 0; ///< Of the request.
    TimePoint mStarted{};
  };

  std::map<std::uint64_t, Run> mUnderWay; ///< By number.
  std::uint64_t mLastRun = 0;
  std::vector<BrokenRun> mBroken;    ///< Late ones.
  std::vector<BrokenRun> mAbandoned; ///< Late ones whose callers left.
  TimePoint mHeard{};                ///< When an answer last came.
  bool mProbed = false; ///< It is being asked whether it still listens.
};

/// @returns a number for the run
std::uint64_t StartRun(RunWatch& aWatch, std::uint64_t aDigest, TimePoint aNow);

/// Notes that a run is over, for whatever reason.
void EndRun(RunWatch& aWatch, std::uint64_t aRun);

/// Notes a run that ended without an answer.
void NoteBroken(RunWatch& aWatch, const BrokenRun& aRun);

/// Notes a run whose caller left. It says nothing of the target by itself.
void NoteAbandoned(RunWatch& aWatch, const BrokenRun& aRun);

/// Notes that an answer came.
void NoteHeard(RunWatch& aWatch, TimePoint aArrived) noexcept;

/// Drops runs that ended too long ago to have crashed the target.
void ForgetBroken(RunWatch& aWatch, TimePoint aNow);

/// @returns true where something may have crashed the target
[[nodiscard]] bool HasSuspects(const RunWatch& aWatch) noexcept;

/// @returns the requests that may have crashed the target
[[nodiscard]] std::vector<std::uint64_t> SuspectDigests(const RunWatch& aWatch);

/// @returns true where a request that may have crashed one target broke with
///          another one, too
[[nodiscard]] bool ShareSuspects(const RunWatch& aWatch,
                                 const RunWatch& aOther);

/// Takes the runs under which a life may have ended. Runs that broke with
/// their connection count from that moment, others, which may have been
/// pointless all along, from their start and as uncertain.
/// @param aLife     of the target
/// @param aSilence  since when the target has been silent; runs under way that
///                  started before count where the sign is not a refusal
[[nodiscard]] std::vector<Crash> TakeCrashes(RunWatch& aWatch,
                                             std::uint64_t aLife, EndSign aSign,
                                             TimePoint aSilence,
                                             TimePoint aNow);

/// Marks crashes as uncertain, where their requests may not be to blame.
void MakeUncertain(std::vector<Crash>& aCrashes) noexcept;

} // namespace guavaline
