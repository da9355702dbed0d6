#pragma once

/// Stand-in for a target as the platform's pages describe it: it runs only
/// what is meant for it, says when it did not run a request, and marks its
/// answers.

#include "history/event.hpp"
#include "http/server.hpp"
#include "standin/held_port.hpp"

#include <functional>
#include <memory>
#include <random>
#include <set>

namespace guavaline::testing {

/// Header by which soak callers name the entry that they sent to.
inline constexpr const char* kEntryHeader = "X-Soak-Entry";

/// Header by which they number the attempts of a request, which may all bear
/// the same id.
inline constexpr const char* kSoakAttemptHeader = "X-Soak-Attempt";

/// @returns the identity of an attempt in histories
[[nodiscard]] std::string AttemptIdentity(std::string_view aId,
                                          std::string_view aAttempt);

/// Requests with this in their path crash each target that begins to run them.
inline constexpr std::string_view kCrashPath = "/crash/";

/// What a crashed target's host still does.
enum class CrashManner {
  Refuses = 1, ///< It resets connections and refuses new ones.
  Silent,      ///< It resets connections; new ones get no answer.
  Mute,        ///< Open connections stay without a word as well.
};

struct PlatformTargetOptions
{
  std::string mId;
  std::string mService;
  std::string mAddress; ///< Where it listens.
  std::uint16_t mPort = 0;
  std::uint32_t mSlots = 3;
  double mMeanMs = 30; ///< Of a run, exponentially spread.
  /// Some runs end with a status that says "not run", unmarked.
  bool mRefusesFalsely = true;
};

class PlatformTarget
{
public:
  PlatformTarget(boost::asio::io_context& aContext,
                 PlatformTargetOptions aOptions, History& aHistory,
                 std::uint64_t aSeed);

  /// @returns an empty text, or the reason why it cannot listen
  [[nodiscard]] std::string Start();
  /// Ends its life in the manner set.
  void Crash();
  [[nodiscard]] bool IsDown() const noexcept { return mHeldPort != nullptr; }
  void SetCrashManner(CrashManner aManner) noexcept { mManner = aManner; }
  [[nodiscard]] CrashManner Manner() const noexcept { return mManner; }
  /// A crashed target comes back as another one at the same address.
  void Become(std::string aId, std::string aService);
  /// A crashed target comes back at another port; the one that it had stays
  /// as the crash left it.
  void MoveTo(std::uint16_t aPort);
  /// Makes runs longer.
  void SetSlow(double aFactor) noexcept { mSlow = aFactor; }
  /// Called after a request has crashed it.
  void OnCrash(std::function<void()> aDo) { mOnCrash = std::move(aDo); }
  /// Refuses a part of the ids, which all targets with the same seed share,
  /// when it first sees them.
  void SetRefusesFirst(bool aOn, std::uint64_t aSeed) noexcept
  {
    mRefusesFirst = aOn;
    mRefusalSeed = aSeed;
  }
  /// Names a rate limit in answers; 0 for none.
  void SetLimit(double aPerSecond) noexcept { mPerSecond = aPerSecond; }
  [[nodiscard]] const PlatformTargetOptions& About() const noexcept
  {
    return mOptions;
  }

private:
  friend class PlatformRun;

  void CrashByRequest();
  /// Waits until the caller leaves.
  boost::asio::awaitable<void> NeverAnswer();
  detail::HttpResponse RefuseAfterRun(detail::HttpResponse aAnswer) const;
  bool RefusesAtFirstSight(const std::string& aId);
  boost::asio::awaitable<detail::HttpResponse> Handle(
    std::uint64_t aLife, detail::HttpRequest aRequest);

  boost::asio::io_context& mContext;
  PlatformTargetOptions mOptions;
  History& mHistory;
  std::mt19937_64 mRandom;
  std::unique_ptr<detail::HttpServer> mServer;
  std::uint64_t mLife = 0; ///< Starts and crashes so far.
  CrashManner mManner = CrashManner::Refuses;
  std::unique_ptr<HeldPort> mHeldPort; ///< While it is down.
  /// Ports and connections that earlier lives left without a word.
  std::vector<std::unique_ptr<HeldPort>> mLeftPorts;
  std::vector<std::unique_ptr<detail::HttpServer>> mMuteServers;
  std::function<void()> mOnCrash;
  double mSlow = 1;
  double mPerSecond = 0;
  std::uint32_t mInFlight = 0;
  std::uint64_t mRuns = 0;
  bool mRefusesFirst = false;
  std::uint64_t mRefusalSeed = 0;
  std::set<std::string> mRefusedIds; ///< At first sight.
};

} // namespace guavaline::testing
