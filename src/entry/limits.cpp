#include "entry/limits.hpp"

namespace guavaline::detail {
namespace {

/// Descriptors kept for the store, peers, targets and files.
constexpr std::uint32_t kOtherDescriptors = 1'000;
/// One part in this many of the process's memory holds bodies of requests in
/// flight, and another one bodies of answers.
constexpr std::uint64_t kBodyMemoryPart = 4;
/// One part in this many holds answers that callers have yet to take.
constexpr std::uint64_t kUnsentMemoryPart = 8;
constexpr std::uint64_t kMegabyte = 1ULL << 20U;

} // namespace

HttpServerLimits LimitsFor(const EntryLimits& aProcess,
                           const CallerLimits& aCallers) noexcept
{
  HttpServerLimits out;
  const auto descriptors = aProcess.mMaxDescriptors;
  out.mMaxConnections = descriptors > 2 * kOtherDescriptors
                          ? descriptors - kOtherDescriptors
                          : descriptors / 2;
  out.mMaxBufferedBytes = aProcess.mMemoryMb * kMegabyte / kBodyMemoryPart;
  out.mMaxUnsentBytes = aProcess.mMemoryMb * kMegabyte / kUnsentMemoryPart;
  out.mMaxHeaderBytes = aCallers.mMaxHeaderBytes;
  out.mMaxBodyBytes = aCallers.mMaxBodyBytes;
  out.mHeaderTimeout = aCallers.mHeaderTimeout;
  out.mIdleTimeout = aCallers.mIdleTimeout;
  return out;
}

std::uint64_t MostAnswerBytes(const EntryLimits& aProcess) noexcept
{
  return aProcess.mMemoryMb * kMegabyte / kBodyMemoryPart;
}

} // namespace guavaline::detail
