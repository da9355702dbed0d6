/// Takes in changed settings while the process runs.

#include "entry/entry.hpp"
#include "entry/limits.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

/// Settings may change without a signal; this often they are looked at.
constexpr Millis kLookPeriod{ 5'000 };

/// Which of the settings differ that hold for the life of a process.
std::string FixedDifference(const EntrySettings& aOld,
                            const EntrySettings& aNew)
{
  const std::pair<const char*, bool> fixed[] = {
    { "name", aOld.mName == aNew.mName },
    { "failure_domain", aOld.mFailureDomain == aNew.mFailureDomain &&
                          aOld.mRegion == aNew.mRegion },
    { "address",
      aOld.mAddress == aNew.mAddress && aOld.mCallers == aNew.mCallers &&
        aOld.mReady == aNew.mReady && aOld.mLookups == aNew.mLookups &&
        aOld.mMetrics == aNew.mMetrics && aOld.mPeers == aNew.mPeers },
    { "store", aOld.mStore == aNew.mStore },
  };
  std::string out;
  for (const auto& [name, same] : fixed) {
    if (!same) {
      out += (out.empty() ? "" : ",") + std::string(name);
    }
  }
  return out;
}

/// True where settings differ that may change while the process runs.
bool HaveChanged(const EntrySettings& aOld, const EntrySettings& aNew)
{
  return !(aOld.mBounds == aNew.mBounds && aOld.mLimits == aNew.mLimits &&
           aOld.mDomains == aNew.mDomains);
}

/// Reads the settings and takes in what changed.
/// @param aAsked  by a signal; logged then also where nothing changed
void Reload(Entry& aEntry, bool aAsked)
{
  EntrySettings settings;
  const auto problems = aEntry.mPlatform.mReadSettings(settings);
  const char* why = aAsked ? "signal" : "file";
  for (const auto& it : problems) {
    // The settings in force stay.
    Log(LogLevel::Error, "settings_refused",
        { { "why", why }, { "problem", it.Describe() } });
  }
  if (!problems.empty() ||
      (!aAsked && !HaveChanged(aEntry.mSettings, settings))) {
    return;
  }
  const bool changed = TakeSettings(aEntry, settings);
  Log(LogLevel::Info, "reloaded",
      { { "why", why },
        { "changed", changed ? "yes" : "no" },
        { "needs_restart", FixedDifference(aEntry.mSettings, settings) },
        { "configuration", std::to_string(aEntry.mRouting.mVersion) } });
}

} // namespace

bool TakeSettings(Entry& aEntry, const EntrySettings& aNew)
{
  auto& present = aEntry.mSettings;
  if (!HaveChanged(present, aNew)) {
    return false;
  }
  present.mBounds = aNew.mBounds;
  present.mLimits = aNew.mLimits;
  present.mDomains = aNew.mDomains;
  aEntry.mRegionShare.mMaxShift = aNew.mBounds.mMaxShift;
  aEntry.mRegionShare.mUnrest = aNew.mBounds.mUnrest;
  SetDomains(aEntry.mRegistry, aNew.mDomains);
  for (auto& [service, budget] : aEntry.mRetries) {
    SetRetryBounds(aEntry, budget);
  }
  const auto capacity =
    CapacityOf(aNew.mLimits.mCores, aNew.mLimits.mLinkMegabits);
  auto& self = aEntry.mRoster.mSelf;
  // Other entries learn of it from the own record.
  aEntry.mRecordWritten = aEntry.mRecordWritten && self.mCapacity == capacity;
  self.mCapacity = capacity;
  aEntry.mTargetClient.SetMostBuffered(MostAnswerBytes(aNew.mLimits));
  aEntry.mCallerServer.SetLimits(
    LimitsFor(aNew.mLimits, aEntry.mRouting.mLimits));
  return true;
}

asio::awaitable<void> AwaitReload(Entry& aEntry)
{
  using namespace asio::experimental::awaitable_operators;
  asio::signal_set signals(aEntry.mContext, SIGHUP);
  asio::steady_timer timer(aEntry.mContext);
  while (true) {
    timer.expires_after(kLookPeriod);
    const auto first = co_await (signals.async_wait(asio::use_awaitable) ||
                                 timer.async_wait(asio::use_awaitable));
    Reload(aEntry, first.index() == 0);
  }
}

} // namespace guavaline::detail
