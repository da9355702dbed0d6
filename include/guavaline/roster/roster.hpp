#pragma once

/// The entries of the system: which there are, from the store, and which of
/// them live, from heartbeats between the entries of a region. Callers are
/// told of live entries of their own region.

#include <guavaline/core/time.hpp>
#include <guavaline/placement/rate_limit.hpp>
#include <guavaline/roster/serving.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace guavaline {

/// What an entry says of itself in the store.
struct EntryRecord
{
  std::string mName;
  std::uint64_t mIncarnation = 0;
  std::string mCallerAddress; ///< "IP:PORT" at which it serves callers.
  std::string mPeerAddress;   ///< "IP:PORT" for calls of other entries.
  std::string mPeerKey;       ///< Calls to it carry this key.
  std::string mFailureDomain;
  std::string mRegion;
  double mCapacity = 0; ///< Requests a second that it can bear; 0 if not told.
  std::uint64_t mRevision = 0; ///< Of the stored object.

  bool operator==(const EntryRecord&) const = default;
};

/// One entry of the roster.
struct RosterEntry
{
  EntryRecord mRecord;
  std::uint64_t mCounter = 0; ///< Of its heartbeats.
  TimePoint mHeard{};         ///< When the counter or record last was new.
  bool mLeaving = false;
  double mRate = 0; ///< Requests a second that it serves.
};

/// News of one entry in heartbeats.
struct EntryNews
{
  std::string mName;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mCounter = 0;
  bool mLeaving = false;
  double mRate = 0;
};

struct Roster
{
  EntryRecord mSelf;
  std::uint64_t mOwnCounter = 1;
  double mOwnRate = 0; ///< Requests a second that this entry serves.
  RegionRate mRegionRate;
  /// Entries of the own region that callers are led to, itself maybe included.
  std::set<std::string> mServing;
  bool mLeaving = false;
  std::map<std::string, RosterEntry> mOthers; ///< By name.
  std::size_t mMaxSeen = 1; ///< Most entries known at once in this life.
  /// When the network last proved to work: another entry or the store
  /// answered.
  TimePoint mLastContact{};
};

/// Time between heartbeats, from the bound on how long a directory may name
/// an entry that has ended: seven periods fit.
inline constexpr Millis kHeartbeatPeriod{ 600 };
/// Silence after which an entry is taken as dead.
inline constexpr Millis kEntrySilence{ 4'000 };
/// Silence after which the record of an entry is removed from the store, and
/// after which an entry of another region, which is heard of less often, is no
/// longer named.
inline constexpr Millis kForgetSilence{ 12'000 };
/// Time without contact after which an entry takes itself for isolated. Calls
/// to the store are closer together.
inline constexpr Millis kContactGap{ 3'000 };

/// Notes that the network works. Others' silence counts only while it does, so
/// a time of isolation is left out of it.
void NoteContact(Roster& aRoster, TimePoint aNow);

/// @returns true where neither entries nor the store were heard lately, so that
///          silence says nothing of others
[[nodiscard]] bool IsIsolated(const Roster& aRoster, TimePoint aNow) noexcept;

/// Takes in a stored record.
void TakeRecord(Roster& aRoster, const EntryRecord& aRecord, TimePoint aNow);

/// Takes in that a record is gone.
void TakeRecordRemoval(Roster& aRoster, const std::string& aName);

/// @returns the news to tell a peer: the own and those of the own region
[[nodiscard]] std::vector<EntryNews> TellNews(const Roster& aRoster,
                                              TimePoint aNow);

/// Takes in a peer's news.
void HearNews(Roster& aRoster, const std::vector<EntryNews>& aNews,
              TimePoint aNow);

/// @returns the entries that heartbeats go to, in turn: mostly those of the
///          own region, at times one of another, which may see a store that
///          this region does not
/// @param aTurn  number of the period
[[nodiscard]] std::vector<EntryRecord> PeersToCall(const Roster& aRoster,
                                                   std::uint64_t aTurn);

/// @returns the other live entries of the own region
[[nodiscard]] std::vector<EntryRecord> LivePeers(const Roster& aRoster,
                                                 TimePoint aNow);

/// @returns one entry of each other region
/// @param aDraw  picks which
[[nodiscard]] std::vector<EntryRecord> OneOfEachRegion(const Roster& aRoster,
                                                       std::uint64_t aDraw);

/// @returns names of the live entries of the own region, itself included
[[nodiscard]] std::vector<std::string> LiveInRegion(const Roster& aRoster,
                                                    TimePoint aNow);

/// @returns how many those are
[[nodiscard]] std::size_t CountLiveInRegion(const Roster& aRoster,
                                            TimePoint aNow) noexcept;

/// @returns the caller addresses to name to a caller from a region
[[nodiscard]] std::vector<std::string> EntriesFor(const Roster& aRoster,
                                                  const std::string& aRegion,
                                                  TimePoint aNow);

/// Chooses anew which live entries of the own region callers are led to.
void UpdateServing(Roster& aRoster, TimePoint aNow);

/// @returns the other entries of the region that serve callers
[[nodiscard]] std::vector<EntryRecord> ServingPeers(const Roster& aRoster,
                                                    TimePoint aNow);

/// @returns how many entries of the region may send requests now; some that
///          callers are no longer led to still do
[[nodiscard]] std::size_t CountSending(const Roster& aRoster,
                                       TimePoint aNow) noexcept;

/// @returns how many entries share limits; never below what was seen
[[nodiscard]] std::size_t SharingEntries(const Roster& aRoster) noexcept;

/// @returns this entry's share of a target's rate limit. The entries of the
///          target's region share it that serve callers; all entries do where
///          that region has none.
/// @param aTarget  hash of the target, which gives the order of the entries
/// @param aMost    most entries that share it
[[nodiscard]] LimitShare ShareOf(const Roster& aRoster,
                                 const std::string& aRegion,
                                 std::uint64_t aTarget, std::size_t aMost,
                                 TimePoint aNow);

/// @returns this entry's place among all known entries in an order that each
///          target has of its own, from 0 to less than 1
/// @param aTarget  hash of the target
[[nodiscard]] double TurnOf(const Roster& aRoster,
                            std::uint64_t aTarget) noexcept;

/// @returns records of dead entries that this entry is to remove
[[nodiscard]] std::vector<EntryRecord> RecordsToRemove(const Roster& aRoster,
                                                       TimePoint aNow);

} // namespace guavaline
