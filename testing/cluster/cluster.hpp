#pragma once

/// A deployment for failure tests: entries as processes of their own, and
/// the store and targets as stand-ins within the test's process.

#include "cluster/ports.hpp"
#include "history/checker.hpp"
#include "history/event.hpp"
#include "load/driver.hpp"
#include "operator/apply.hpp"
#include "standin/store.hpp"
#include "standin/target.hpp"

#include <map>
#include <memory>
#include <thread>

namespace guavaline::testing {

/// Size and behaviour of a test deployment.
struct ClusterOptions
{
  std::string mName; ///< Names the folder of the entries' logs.
  std::size_t mRegions = 3;
  std::size_t mDomainsPerRegion = 1;
  std::size_t mEntriesPerDomain = 2;
  std::size_t mTargetsPerDomain = 3;
  std::uint32_t mSlots = 3;
  double mMeanMs = 20;
  Millis mRegionDelay{ 3 };
  double mShiftCapPercent = 100;
  Millis mShiftCapWindow{ 10'000 };
  Millis mLookupTtl{ 1'000 };
  Millis mSlotQuarantine{ 1'000 };
  std::uint64_t mSeed = 1;
};

class EntryChild;

class Cluster
{
public:
  explicit Cluster(const ClusterOptions& aOptions);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;
  Cluster(Cluster&&) = delete;
  Cluster& operator=(Cluster&&) = delete;

  /// Starts all parts and brings the configuration into force everywhere.
  /// @returns false where that does not come about in time
  [[nodiscard]] bool Start();

  [[nodiscard]] const Configuration& Accepted() const;
  [[nodiscard]] History& Events() noexcept { return mHistory; }
  [[nodiscard]] detail::OperatorTarget Operator() const;

  /// Starts an entry's process, which holds nothing.
  void StartEntry(const std::string& aName);
  /// Ends an entry at once.
  void KillEntry(const std::string& aName);
  void PauseEntry(const std::string& aName);
  void ResumeEntry(const std::string& aName);
  /// Tells an entry to stop.
  void StopEntry(const std::string& aName);
  /// @returns the exit code once the process has ended; -1 where it has not
  ///          in time, or was killed
  [[nodiscard]] int AwaitExit(const std::string& aName);
  /// Cuts an entry off from others and the store; an empty list joins it.
  void Block(const std::string& aName, const std::vector<std::string>& aOthers);

  /// Changes the store's faults.
  void SetStore(const StoreFaults& aFaults);
  [[nodiscard]] std::uint64_t StoreCalls();
  /// Runs a function on each target of a region, or on all for "".
  void EachTarget(const std::string& aRegion,
                  const std::function<void(TargetStandin&)>& aDo);
  /// Applies a changed configuration.
  /// @returns its version; 0 where the store did not take it
  [[nodiscard]] std::uint64_t Change(const Configuration& aNew, bool aPush);

  /// Waits until every named entry says that it has a version in force, and
  /// notes what each says on the way.
  [[nodiscard]] bool AwaitVersion(const std::vector<std::string>& aEntries,
                                  std::uint64_t aVersion, Millis aBound);
  /// @returns the version an entry has in force; nothing without an answer
  [[nodiscard]] std::optional<std::uint64_t> VersionAt(
    const std::string& aName);
  [[nodiscard]] std::vector<std::string> EntryNames() const;
  [[nodiscard]] detail::HttpResponse AskEntry(const std::string& aName,
                                              detail::HttpRequest aRequest);

  /// Makes a load plan for the deployment.
  [[nodiscard]] LoadPlan Plan(double aUtilization, Millis aDuration) const;
  /// Starts a load; it goes on beside the caller.
  void StartLoad(const LoadPlan& aPlan);
  /// Waits until all calls have ended.
  void AwaitLoad();

  /// Runs all checks over what happened so far.
  [[nodiscard]] std::vector<std::string> Violations(
    const CheckOptions& aOptions);

private:
  Configuration MakeConfiguration();
  void OnStandins(const std::function<void()>& aDo);

  ClusterOptions mOptions;
  PortPicker mPorts;
  std::string mDirectory;
  History mHistory;
  boost::asio::io_context mContext;
  std::unique_ptr<StoreStandin> mStore;
  detail::Endpoint mStoreEndpoint;
  std::vector<std::unique_ptr<TargetStandin>> mTargets;
  std::thread mStandins;
  std::vector<std::thread> mLoads;
  AcceptedConfiguration mAccepted;
  std::map<std::string, std::unique_ptr<EntryChild>> mEntries;
};

/// Waits on the wall.
void Pause(Millis aTime);

} // namespace guavaline::testing
