#pragma once

/// Events of a run, as callers and targets saw them.

#include <guavaline/core/time.hpp>

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace guavaline::testing {

enum class EventKind {
  CallSent = 1, ///< A caller sent an attempt.
  CallAnswered, ///< It got a whole HTTP answer.
  CallFailed,   ///< It got none.
  CallEnded,    ///< It stopped trying; mOutcome says how it went.
  RunStarted,   ///< A target began to run a request.
  RunEnded,
  RunCancelled,
  TargetShed,            ///< A target refused for lack of slots.
  TargetLeaving,         ///< A target announced that it leaves.
  TargetLimited,         ///< A target named a rate limit, or ended it.
  StopPlanned,           ///< An entry was told to stop.
  ConfigurationAccepted, ///< The store took a version.
  ConfigurationSeen,     ///< An entry said that it has a version in force.
};

/// One line of a history. Fields that do not apply are empty.
struct Event
{
  std::int64_t mMicros = 0; ///< Monotonic clock, the same on all processes.
  EventKind mKind = EventKind::CallSent;
  std::string mIdentity; ///< Of the request.
  std::string mService;
  std::string mClass;
  std::string mPlace;  ///< Of the caller.
  std::string mRegion; ///< Of the target.
  std::string mPeer;   ///< Target name, or address of the entry.
  std::string mRan;    ///< What the answer says: yes, no or unknown.
  std::string mDigest; ///< Of the request's body.
  std::string mOutcome;
  std::int64_t mStatus = 0;
  std::int64_t mInFlight = 0; ///< At the target, this request included.
  std::int64_t mSlots = 0;
  std::int64_t mVersion = 0;
  std::int64_t mLatencyMicros = 0;
  std::int64_t mAttempt = 0; ///< Number within its identity, from 1.
  std::int64_t mWeight = 0;  ///< Of mService in a split, in percent.
  double mPerSecond = 0;     ///< Rate limit of mPeer; 0 for none.
};

/// @returns the present time on the clock of histories
[[nodiscard]] std::int64_t NowMicros() noexcept;

/// Collects events from several threads.
class History
{
public:
  void Add(Event aEvent);
  [[nodiscard]] std::vector<Event> Copy() const;
  /// Writes one JSON line an event.
  /// @returns false where the file cannot be written
  [[nodiscard]] bool Save(const std::string& aPath) const;

private:
  mutable std::mutex mMutex;
  std::vector<Event> mEvents;
};

/// Reads a file that History::Save wrote.
/// @returns false where it cannot be read or a line is broken
[[nodiscard]] bool LoadEvents(const std::string& aPath,
                              std::vector<Event>& aOut);

} // namespace guavaline::testing
