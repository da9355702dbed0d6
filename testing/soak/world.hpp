#pragma once

/// A deployment for a soak: entries as processes of their own, targets and
/// the platform's store as stand-ins, and a proxy on every path that can be
/// harmed from outside.

#include "soak/callers.hpp"
#include "soak/checks.hpp"
#include "soak/proxy.hpp"
#include "standin/platform_store.hpp"
#include "standin/platform_target.hpp"

#include <functional>
#include <memory>
#include <set>
#include <thread>

namespace guavaline::testing {

struct WorldOptions
{
  std::string mProgram;   ///< guavaline-entry.
  std::string mDirectory; ///< For settings and logs.
  std::size_t mRegions = 3;
  std::size_t mEntriesPerRegion = 2;
  std::size_t mTargetsPerRegion = 6;
  std::uint64_t mSeed = 1;
};

class EntryChild;

class World
{
public:
  explicit World(const WorldOptions& aOptions);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;
  World(World&&) = delete;
  World& operator=(World&&) = delete;

  /// Starts everything.
  /// @returns an empty text, or what could not be started
  [[nodiscard]] std::string Start();
  /// Ends the entries that still run.
  void Stop();

  [[nodiscard]] History& Events() noexcept { return mHistory; }
  [[nodiscard]] const std::vector<SoakEntry>& Entries() const noexcept
  {
    return mEntries;
  }
  [[nodiscard]] std::size_t TargetCount() const noexcept
  {
    return mTargets.size();
  }
  [[nodiscard]] std::string TargetId(std::size_t aTarget);

  /// Starts an entry's process, which holds nothing.
  void StartEntry(std::size_t aEntry);
  /// Sends a signal to an entry that runs.
  void Signal(std::size_t aEntry, int aSignal);
  /// Waits until an entry has ended.
  /// @returns false where it has not within the bound
  bool AwaitEnd(std::size_t aEntry, Millis aBound);
  [[nodiscard]] bool IsRunning(std::size_t aEntry);

  void SetStore(const PlatformStoreFaults& aFaults);
  void DropHistory();
  /// Keeps a copy of the store, from which it comes back later. What operators
  /// and living targets wrote is written again then.
  void KeepStoreCopy();
  void RestoreStore();
  /// Removes registrations of targets that have ended, which a copy brought
  /// back.
  void LapseTargets();
  /// Proxy between an entry and the store, callers and an entry, entries and
  /// a target.
  void OnStorePath(std::size_t aEntry,
                   const std::function<void(SoakProxy&)>& aDo);
  void OnCallerPath(std::size_t aEntry,
                    const std::function<void(SoakProxy&)>& aDo);
  void OnTargetPath(std::size_t aTarget,
                    const std::function<void(SoakProxy&)>& aDo);

  void CrashTarget(std::size_t aTarget);
  /// A crashed target's address serves again, under a new id.
  void ReplaceTarget(std::size_t aTarget);
  /// A target says that it leaves; it still serves what it gets.
  void DrainTarget(std::size_t aTarget);
  void SlowTarget(std::size_t aTarget, double aFactor);
  /// A target names a rate limit, or ends it with 0.
  void LimitTarget(std::size_t aTarget, double aPerSecond);

  /// Lets the targets of one region refuse at first sight, and refusals come
  /// again on their connections.
  void CopyRefusals(bool aOn);

  /// Moves the reads to the other service and changes the weights of the
  /// split route.
  void ChangeRouting();
  void Evacuate(const std::string& aZone, bool aEmptied);
  [[nodiscard]] std::string ZoneOf(std::size_t aEntry) const;
  /// @returns when targets were down since requests had crashed them; called
  ///          after Stop
  [[nodiscard]] const std::vector<Impairment>& CrashedByRequests() const
  {
    return mCrashed;
  }

  /// @returns copies of refusals that were written; called after Stop
  [[nodiscard]] CopyCounts Copies() const;

private:
  struct TargetPlace
  {
    std::string mZone;
    detail::Endpoint mListen;
    detail::Endpoint mProxyAt;
    std::unique_ptr<PlatformTarget> mTarget;
    std::unique_ptr<SoakProxy> mProxy;
    std::int64_t mBorn = 0;
    std::uint64_t mSequence = 0;
    const char* mState = ""; ///< As last registered; empty once crashed.
    /// The proxy's port, once a request has crashed the target.
    std::unique_ptr<HeldPort> mHeldPort;
  };

  /// Harms the paths to a target as its host's end does. It is back later.
  void EndByRequest(TargetPlace& aPlace);
  boost::asio::awaitable<void> ComeBack(TargetPlace& aPlace, std::string aOld);
  /// Starts a target that is down under a new id.
  void Revive(TargetPlace& aPlace, std::string aService);
  void OnWorld(const std::function<void()>& aDo);
  void PutRouting();
  void Register(TargetPlace& aPlace, const char* aState);
  [[nodiscard]] std::string WriteSettings(std::size_t aEntry) const;
  void MakeEntries();
  void MakeTargets();
  [[nodiscard]] std::string ListenAll();

  WorldOptions mOptions;
  History mHistory;
  boost::asio::io_context mContext{ 1 };
  PlatformStore mStore;
  detail::Endpoint mStoreAt;
  std::vector<SoakEntry> mEntries;
  std::vector<std::unique_ptr<SoakProxy>> mStorePaths;
  std::vector<std::unique_ptr<SoakProxy>> mCallerPaths;
  std::vector<std::unique_ptr<EntryChild>> mChildren;
  std::vector<TargetPlace> mTargets;
  std::set<std::string> mEvacuated; ///< Zones.
  std::uint64_t mVersion = 1;
  std::uint64_t mNextTarget = 1;
  std::vector<Impairment> mCrashed;
  std::thread mThread;
};

} // namespace guavaline::testing
