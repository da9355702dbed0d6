#include <guavaline/admission/queue.hpp>

namespace guavaline {
namespace {

/// Longest queue for each usable slot.
constexpr std::size_t kMaxPerSlot = 32;
/// Queue that is allowed before any slot is known to be usable.
constexpr std::size_t kMinQueue = 8;

} // namespace

Millis ExpectedWait(const QueueQuery& aQuery) noexcept
{
  if (aQuery.mUsable == 0) {
    return aQuery.mServiceTime;
  }
  const auto rounds =
    static_cast<Millis::rep>((aQuery.mAhead + 1) / aQuery.mUsable + 1);
  return aQuery.mServiceTime * rounds;
}

bool ShouldQueue(const QueueQuery& aQuery) noexcept
{
  const auto most = kMinQueue + kMaxPerSlot * aQuery.mUsable;
  if (aQuery.mAhead >= most) {
    return false;
  }
  return ExpectedWait(aQuery) + aQuery.mServiceTime <= aQuery.mLeft;
}

} // namespace guavaline
