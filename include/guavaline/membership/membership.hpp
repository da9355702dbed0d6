#pragma once

/// Which entries are alive. Each entry raises a counter of its own, which
/// heartbeats carry from peer to peer; an entry whose counter stands still
/// is suspected, then gone. The platform's list of hosts is joined in.

#include <guavaline/attempts/attempts.hpp>
#include <guavaline/configuration/model.hpp>
#include <guavaline/core/time.hpp>
#include <guavaline/crashes/crash_news.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace guavaline {

/// What one entry believes of another.
enum class MemberStatus {
  Alive = 1,
  Leaving,   ///< It said that it will stop.
  Suspected, ///< Nothing new was heard for a while.
  Gone,      ///< Nothing new was heard for long, or never.
};

/// News of one entry, as heartbeats carry it.
struct MemberNews
{
  std::string mName;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mCounter = 0; ///< Raised by the entry itself.
  bool mLeaving = false;
  std::uint64_t mVersion = 0; ///< Configuration in force there.
};

/// One message of the membership protocol; both sides send one.
struct Heartbeat
{
  MemberNews mSender;
  std::vector<MemberNews> mNews;
  std::vector<std::string> mCrashers; ///< Digests of requests that crash.
  std::optional<CrashNews> mCrashes;  ///< Left out where empty.
};

struct Member
{
  MemberNews mNews;
  TimePoint mHeard; ///< When mNews last became newer.
  bool mEverHeard = false;
  bool mListedLeaving = false; ///< By the platform's list.
};

/// Bounds of the membership protocol.
struct MembershipTimes
{
  Millis mPeriod{ 500 };
  Millis mSuspectAfter{ 2'500 };
  Millis mGoneAfter{ 10'000 };
  std::size_t mPeersPerPeriod = 3;
  std::size_t mNewsPerHeartbeat = 12;
};

/// @returns bounds that fit a number of entries: small fleets hear of each
///          other fast, large ones spend less on each entry
[[nodiscard]] MembershipTimes TimesFor(std::size_t aEntries) noexcept;

/// The view of one entry.
struct MembershipView
{
  Incarnation mSelf;
  MemberNews mOwnNews;
  MembershipTimes mTimes;
  std::map<std::string, Member> mMembers; ///< By name; without itself.
  std::size_t mNextNews = 0;
  std::vector<std::string> mPeerOrder; ///< Peers still to call in this cycle.
};

/// Starts a view.
[[nodiscard]] MembershipView MakeView(Incarnation aSelf,
                                      const MembershipTimes& aTimes);

/// Takes the configured entries as members; others are dropped.
void SetMembers(MembershipView& aView, const Configuration& aConfiguration,
                TimePoint aNow);

/// @returns the state of an entry; Gone where it is not configured
[[nodiscard]] MemberStatus StatusOf(const MembershipView& aView,
                                    const std::string& aName, TimePoint aNow);

/// Picks the peers to call in this period: every peer once in a cycle, in
/// an order that differs between cycles.
[[nodiscard]] std::vector<std::string> PickPeers(
  MembershipView& aView, const std::function<std::uint64_t()>& aRandom);

/// Raises the own counter; called once a period.
void Tick(MembershipView& aView);

/// Makes the next heartbeat; news of members goes out in turn.
[[nodiscard]] Heartbeat MakeHeartbeat(MembershipView& aView);

/// Takes in a heartbeat; older news is disregarded.
void TakeHeartbeat(MembershipView& aView, const Heartbeat& aHeartbeat,
                   TimePoint aNow);

/// Notes what the platform's list says of a host. It lags, so that it can
/// make a host leave but not make it live.
void NoteListed(MembershipView& aView, const std::string& aName, bool aLeaving);

/// @returns true where this entry comes first of the live ones in an order
///          that each seed has of its own
[[nodiscard]] bool IsFirstFor(const MembershipView& aView, std::uint64_t aSeed,
                              TimePoint aNow);

/// @returns true where every configured entry that is not gone has a
///          configuration of at least this version in force
[[nodiscard]] bool AllHaveVersion(const MembershipView& aView,
                                  std::uint64_t aVersion, TimePoint aNow);

} // namespace guavaline
