#pragma once

/// One exchange with a target, and what it tells of the target's health.

#include "forwarding/placement.hpp"

namespace guavaline::detail {

inline constexpr const char* kIdentityHeader = "Guavaline-Identity";
inline constexpr const char* kPlaceHeader = "Guavaline-Place";
/// Number of the attempt, from 1; passed on to the target, whose records can
/// so tell the sends of one identity apart.
inline constexpr const char* kAttemptHeader = "Guavaline-Attempt";
inline constexpr const char* kTimeoutHeader = "Guavaline-Timeout-Ms";
inline constexpr const char* kRanHeader = "Guavaline-Ran";
inline constexpr const char* kReasonHeader = "Guavaline-Reason";
inline constexpr const char* kFromHeader = "Guavaline-From";
/// Names one send. A target repeats it in its answer, which by that is told
/// from late answers and copies on a kept connection.
inline constexpr const char* kExchangeHeader = "Guavaline-Exchange";
/// A target that sheds says by this header that it ran nothing.
inline constexpr const char* kTargetRanHeader = "Target-Ran";
/// A target that is about to stop says so on its answers.
inline constexpr const char* kTargetLeavingHeader = "Target-Leaving";

/// One request of a caller on its way.
struct Call
{
  HttpRequest mRequest; ///< As the target gets it.
  std::string mService;
  RequestClass mClass;
  std::string mPlace;
  std::string mIdentity;
  std::uint64_t mDigest = 0;
  TimePoint mStarted;
  TimePoint mDeadline;
  bool mReached = false; ///< Some byte may have reached a target.
  std::vector<std::uint32_t> mExcluded;
};

/// What one exchange with a target came to.
struct TargetResult
{
  std::optional<HttpResponse> mResponse; ///< Ready for the caller.
  bool mMayHaveReached = false;
  bool mShed = false; ///< The target says that it ran nothing.
};

/// @returns what Place needs to know of a call
[[nodiscard]] PlacementQuery QueryFor(const Call& aCall);

/// @returns the refusal for a failed placement
[[nodiscard]] HttpResponse RefusalFor(PlacementFailure aFailure, bool aReached);

/// Gives a request to a target a name of its own, by which its answer is known.
void NameExchange(Node& aNode, HttpRequest& aRequest,
                  ExchangeOptions& aOptions);

/// Tells whether the target ran the request. An answer on a kept connection
/// that does not name it may be the one to an earlier request.
[[nodiscard]] TargetResult JudgeExchange(ExchangeResult aResult);

/// Sends a call to the target whose slot is held.
boost::asio::awaitable<TargetResult> ExchangeWith(Node& aNode,
                                                  const Call& aCall,
                                                  SlotHold& aHold,
                                                  TimePoint aDeadline);

} // namespace guavaline::detail
