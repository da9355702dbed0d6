#pragma once

/// Stand-in for a target: slots, shedding, cold start, deadlines, delays
/// from other regions, and faults.

#include "history/event.hpp"
#include "http/server.hpp"

#include <guavaline/configuration/model.hpp>

#include <map>
#include <random>

namespace guavaline::testing {

/// How a target behaves; may be changed while it runs.
struct TargetBehaviour
{
  double mMeanServiceMs = 20; ///< Exponentially spread.
  double mSlowFactor = 1;
  bool mLeavingByHealth = false;
  bool mLeavingByAnswers = false;
  bool mProbesFail = false;
  /// Connections that exist when this is raised never answer again.
  std::uint64_t mSilentUpTo = 0;
  /// Answers are cut after the header, connection closed.
  bool mDropAnswers = false;
  double mColdFactor = 1; ///< Slower by this while cold, ...
  Millis mColdFor{ 0 };   ///< ... for this long after the first request.
};

class TargetStandin
{
public:
  /// @param aDelays  one-way delay by the region of the entry
  TargetStandin(boost::asio::io_context& aContext, std::string aService,
                Target aTarget, std::map<std::string, Millis> aDelays,
                History& aHistory, std::uint64_t aSeed);

  [[nodiscard]] std::string Start();
  /// Closes the listener and every connection, as a crash does.
  void Crash();
  /// Stops new work being offered by health or answers.
  void Announce();
  [[nodiscard]] TargetBehaviour& Behaviour() noexcept { return mBehaviour; }
  [[nodiscard]] const Target& About() const noexcept { return mTarget; }
  [[nodiscard]] std::uint64_t LastConnection() const noexcept
  {
    return mLastConnection;
  }

private:
  friend class RunScope;

  boost::asio::awaitable<detail::HttpResponse> Handle(
    detail::HttpRequest aRequest);
  /// Answers a request, without the name of its exchange.
  boost::asio::awaitable<detail::HttpResponse> Answer(
    detail::HttpRequest aRequest);
  boost::asio::awaitable<detail::HttpResponse> Run(
    const detail::HttpRequest& aRequest);
  detail::HttpResponse Health() const;
  boost::asio::awaitable<void> Wait(std::chrono::microseconds aTime);
  std::chrono::microseconds ServiceTime();
  [[nodiscard]] Event MakeEvent(EventKind aKind,
                                const detail::HttpRequest& aRequest) const;
  boost::asio::awaitable<void> RestartLater();

  boost::asio::io_context& mContext;
  std::string mService;
  Target mTarget;
  std::map<std::string, Millis> mDelays;
  History& mHistory;
  std::mt19937_64 mRandom;
  TargetBehaviour mBehaviour;
  std::unique_ptr<detail::HttpServer> mServer;
  std::uint32_t mInFlight = 0;
  std::uint64_t mLastConnection = 0;
  TimePoint mFirstRequest{};
};

/// Body that crashes the target that runs it.
inline constexpr const char* kCrashBody = "crash-target";

} // namespace guavaline::testing
