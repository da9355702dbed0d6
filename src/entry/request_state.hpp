#pragma once

/// One caller's request on its way through an entry, and the steps that it
/// takes there.

#include "entry/entry.hpp"

#include <set>

namespace guavaline::detail {

/// Where a caller names no time limit.
inline constexpr Millis kDefaultLimit{ 10'000 };

/// One caller's request on its way.
struct RequestState
{
  HttpRequest mRequest;
  Route mRoute; ///< As it stood when the request came.
  std::string mService;
  std::string mAccount;   ///< The caller's; empty where there is none.
  bool mHidesKey = false; ///< The configuration had client accounts.
  std::string mId;
  std::uint64_t mKey = 0;
  std::uint64_t mDigest = 0;
  TimePoint mArrived;
  TimePoint mDeadline;
  bool mReturning = false;
  std::uint64_t mVersion = 0;   ///< Of the configuration.
  std::set<std::string> mTried; ///< Targets that failed it or refused it.
  std::uint32_t mRuns = 0;      ///< Targets that may have run it.
  std::uint32_t mSends = 0;     ///< Exchanges, those refused included.
  PlacementChoice mChoice;      ///< The last one.
};

/// What one send came to.
struct SendOutcome
{
  std::optional<HttpResponse> mAnswer; ///< For the caller, if it is the last.
  bool mNotRun = false;     ///< The target says so, or was never reached.
  bool mWorthRetry = false; ///< Another target may do better.
  const char* mWhat = "answered";
};

/// @returns a refusal that promises that the request has not run
[[nodiscard]] HttpResponse Reject(const Entry& aEntry,
                                  const RequestState& aState,
                                  Millis aRetryAfter, const char* aReason);

/// @returns an answer of the entry's own that promises nothing
[[nodiscard]] HttpResponse Fail(const Entry& aEntry, const RequestState& aState,
                                unsigned aStatus, const char* aReason);

/// Writes the line of a request that ends, and its share of the metrics.
void NoteEnd(Entry& aEntry, const RequestState& aState, unsigned aStatus,
             const char* aReason, TimePoint aNow);

/// Chooses a target for the request, and changes nothing else.
void Choose(Entry& aEntry, RequestState& aState, TimePoint aNow);

/// @returns a refusal's name in logs; empty for none
[[nodiscard]] const char* NameOf(PlacementRefusal aRefusal) noexcept;

/// Sends the request to the target that was chosen, and learns from how that
/// goes.
boost::asio::awaitable<SendOutcome> SendOnce(Entry& aEntry,
                                             RequestState& aState);

/// @returns what tells a request that comes again from others
[[nodiscard]] std::uint64_t DigestOf(const Entry& aEntry,
                                     const HttpRequest& aRequest);

} // namespace guavaline::detail
