#pragma once

/// Whether a request that finds no free slot waits for one.

#include <guavaline/core/time.hpp>

#include <cstdint>

namespace guavaline {

/// What is known when a request finds no free slot.
struct QueueQuery
{
  std::size_t mAhead = 0;    ///< Requests that would be served before it.
  std::uint32_t mUsable = 0; ///< Slots of the region that this entry may use.
  Millis mServiceTime{ 0 };  ///< Expected time to serve one request.
  Millis mLeft{ 0 };         ///< Time until the request's deadline.
};

/// @returns true where the request can be expected to end in time
[[nodiscard]] bool ShouldQueue(const QueueQuery& aQuery) noexcept;

/// @returns the time by which a slot would be free for it
[[nodiscard]] Millis ExpectedWait(const QueueQuery& aQuery) noexcept;

} // namespace guavaline
