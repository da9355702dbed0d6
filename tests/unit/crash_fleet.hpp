#pragma once

/// Entries that exchange heartbeats, and targets that requests can crash, in
/// one process.

#include "entry/entry.hpp"

#include "cluster/ports.hpp"
#include "standin/platform_target.hpp"
#include "store.hpp"

#include <map>
#include <memory>

namespace guavaline::tests {

struct FleetOptions
{
  std::size_t mEntries = 12;
  std::size_t mTargets = 24;
  std::size_t mDomains = 1; ///< Targets lie in them in turn.
  RequestKind mKind = RequestKind::Idempotent;
  testing::CrashManner mManner = testing::CrashManner::Refuses;
  Millis mMeanRun{ 30 };
  Millis mDownTime{ 500 };
  /// The registration of a crashed target goes this long after the crash.
  Millis mLapseTime{ 1'500 };
  bool mMoves = false;    ///< Crashed targets are back at other addresses.
  bool mSameLife = false; ///< They are back as the lives that they were.
};

class Fleet
{
public:
  explicit Fleet(const FleetOptions& aOptions);

  /// Sends a request through entries in turn, the first of them at once. Each
  /// is sent once the one before has its answer.
  void SendInTurn(const std::string& aPath, Millis aGap, Millis aTime);
  /// Starts to send requests through entries in turn, whether the ones before
  /// have their answers or not.
  /// @param aPaths  taken in turn
  void KeepSending(std::vector<std::string> aPaths, Millis aGap, Millis aTime);
  /// Crashes all targets of a failure domain at a later time.
  void CrashDomain(std::size_t aDomain, Millis aAfter);
  void Run(Millis aTime);

  /// @returns the status of a request through one entry
  unsigned SendOne(std::size_t aEntry, const std::string& aPath);
  /// Sends each request once, through entries in turn.
  /// @returns how many ended with each status
  std::map<unsigned, std::size_t> SendEach(
    const std::vector<std::string>& aPaths);

  /// @returns when targets crashed
  [[nodiscard]] const std::vector<TimePoint>& Crashes() const noexcept
  {
    return mCrashes;
  }
  [[nodiscard]] std::size_t EntryCount() const noexcept
  {
    return mEntries.size();
  }

private:
  void Spawn(boost::asio::awaitable<void> aTask);
  void AddEntry(std::size_t aIndex);
  void AddTarget(std::size_t aIndex);
  void Register(const testing::PlatformTarget& aTarget, std::int64_t aStarted);
  void NoteCrashOf(testing::PlatformTarget& aTarget);
  boost::asio::awaitable<void> CrashLater(std::size_t aDomain, Millis aAfter);
  boost::asio::awaitable<void> ComeBack(testing::PlatformTarget& aTarget,
                                        std::size_t aCrash);
  boost::asio::awaitable<unsigned> Send(std::size_t aEntry, std::string aPath);
  boost::asio::awaitable<void> SendAll(std::string aPath, Millis aGap,
                                       Millis aTime);
  boost::asio::awaitable<void> StartAll(std::vector<std::string> aPaths,
                                        Millis aGap, Millis aTime);

  FleetOptions mOptions;
  boost::asio::io_context mContext{ 1 };
  testing::PortPicker mPorts;
  detail::HttpClient mStoreClient{ mContext.get_executor() };
  platform::ObjectStore mStore{ mStoreClient, {} };
  testing::History mHistory;
  std::vector<std::unique_ptr<detail::Entry>> mEntries;
  std::vector<std::unique_ptr<testing::PlatformTarget>> mTargets;
  std::vector<TimePoint> mCrashes;
  std::uint64_t mSent = 0;
  std::int64_t mStarts = 0;
};

} // namespace guavaline::tests
