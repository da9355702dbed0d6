#pragma once

/// Caller library: look-up cache, fail-over between entries, identities.

#include "daemon/status_wire.hpp"
#include "http/client.hpp"

#include <functional>

namespace guavaline::detail {

/// One request to a service.
struct ServiceCall
{
  std::string mService;
  std::string mMethod = "GET";
  std::string mPath = "/";
  std::string mBody;
  Millis mTimeout{ 5'000 };
};

/// How a call ended, truthfully.
enum class CallOutcome {
  Answered = 1, ///< A whole answer of a target.
  NotRun,       ///< Refused, and nothing ran.
  Unknown,      ///< It may have run.
};

struct CallResult
{
  CallOutcome mOutcome = CallOutcome::NotRun;
  HttpResponse mResponse; ///< The last one received.
  std::string mIdentity;  ///< For methods other than GET.
  std::uint32_t mAttempts = 0;
};

/// Told of every attempt; for histories.
struct CallObserver
{
  std::function<void(const std::string& aIdentity, const std::string& aEntry)>
    mSent;
  std::function<void(const std::string& aIdentity, const std::string& aEntry,
                     const ExchangeResult& aResult)>
    mReturned;
};

/// Calls services through entries. Answers of look-ups are kept for their
/// time to live, and beyond it while no entry answers.
class Caller
{
public:
  /// @param aBootstrap  entries to ask first
  /// @param aPlace      region of the caller
  /// @param aName       steady name, which spreads callers over entries
  Caller(HttpClient& aHttp, std::vector<Endpoint> aBootstrap,
         std::string aPlace, std::string aName);

  /// Makes a call, trying other entries where that is safe.
  [[nodiscard]] boost::asio::awaitable<CallResult> Send(
    ServiceCall aCall, const CallObserver& aObserver);

private:
  struct CachedLookup
  {
    LookupAnswer mAnswer;
    TimePoint mFresh; ///< Until when it needs no new look-up.
  };

  boost::asio::awaitable<bool> Ask(Endpoint aEntry, std::string aService,
                                   HttpRequest aRequest, TimePoint aDeadline);
  boost::asio::awaitable<bool> Refresh(std::string aService,
                                       TimePoint aDeadline);
  std::string NewIdentity(const CachedLookup& aLookup);

  HttpClient& mHttp;
  std::vector<Endpoint> mBootstrap;
  std::string mPlace;
  std::string mName;
  std::map<std::string, CachedLookup> mLookups;
  std::uint64_t mNext = 0;
  std::size_t mNextBootstrap = 0;
};

} // namespace guavaline::detail
