#include "history/event.hpp"

#include "codec/described.hpp"

#include <fstream>

namespace guavaline::testing {

BOOST_DESCRIBE_ENUM(EventKind, CallSent, CallAnswered, CallFailed, CallEnded,
                    RunStarted, RunEnded, RunCancelled, TargetShed,
                    TargetLeaving, TargetLimited, StopPlanned,
                    ConfigurationAccepted, ConfigurationSeen)
BOOST_DESCRIBE_STRUCT(Event, (),
                      (mMicros, mKind, mIdentity, mService, mClass, mPlace,
                       mRegion, mPeer, mRan, mDigest, mOutcome, mStatus,
                       mInFlight, mSlots, mVersion, mLatencyMicros, mAttempt,
                       mWeight, mPerSecond))

std::int64_t NowMicros() noexcept
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           Clock::now().time_since_epoch())
    .count();
}

void History::Add(Event aEvent)
{
  aEvent.mMicros = NowMicros();
  const std::lock_guard lock(mMutex);
  mEvents.push_back(std::move(aEvent));
}

std::vector<Event> History::Copy() const
{
  const std::lock_guard lock(mMutex);
  return mEvents;
}

bool History::Save(const std::string& aPath) const
{
  std::ofstream out(aPath);
  for (const auto& it : Copy()) {
    out << detail::ToJson(it) << '\n';
  }
  return out.good();
}

bool LoadEvents(const std::string& aPath, std::vector<Event>& aOut)
{
  std::ifstream in(aPath);
  std::string line;
  bool whole = in.good();
  while (std::getline(in, line)) {
    whole = detail::FromJson(line, aOut.emplace_back()).empty() && whole;
  }
  return whole;
}

} // namespace guavaline::testing
