#pragma once

/// Token buckets: bytes on links between regions, and retries.

#include <guavaline/configuration/model.hpp>
#include <guavaline/core/time.hpp>

#include <string>

namespace guavaline {

/// One entry's part of a link between two regions.
struct LinkBudget
{
  double mBytesPerSecond = 0;
  double mTokens = 0; ///< Bytes that may go now; below 0 while in debt.
  TimePoint mUpdated;
};

/// Makes the budget of an entry: the link's rate over the entries that may
/// send on it.
[[nodiscard]] LinkBudget MakeLinkBudget(const Configuration& aConfiguration,
                                        const Link& aLink, TimePoint aNow);

/// Brings a budget up to a configuration; what it has used stays used.
void UpdateLinkBudget(LinkBudget& aBudget, const Configuration& aConfiguration,
                      const Link& aLink, TimePoint aNow);

/// Takes bytes for a request.
/// @returns false where the link's part is used up for now
[[nodiscard]] bool TakeBytes(LinkBudget& aBudget, std::uint64_t aBytes,
                             TimePoint aNow) noexcept;

/// Charges bytes that were sent without asking, such as an answer's.
void ChargeBytes(LinkBudget& aBudget, std::uint64_t aBytes,
                 TimePoint aNow) noexcept;

/// Bounds retries to a part of the requests.
struct RetryBudget
{
  double mTokens = 10;
  double mPerRequest = 0.1; ///< Retries earned by each first attempt.
  double mMost = 50;        ///< Retries that may be saved up.
};

/// Adds to the budget for a first attempt.
void NoteRequest(RetryBudget& aBudget) noexcept;

/// @returns true where one more retry may be made, and takes it
[[nodiscard]] bool TakeRetry(RetryBudget& aBudget) noexcept;

} // namespace guavaline
