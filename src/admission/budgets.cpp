#include <guavaline/admission/budgets.hpp>

#include <algorithm>

namespace guavaline {
namespace {

constexpr double kBitsPerByte = 8;
constexpr double kBurstSeconds = 0.25;

void Refill(LinkBudget& aBudget, TimePoint aNow) noexcept
{
  const std::chrono::duration<double> passed = aNow - aBudget.mUpdated;
  aBudget.mTokens =
    std::min(aBudget.mBytesPerSecond * kBurstSeconds,
             aBudget.mTokens + passed.count() * aBudget.mBytesPerSecond);
  aBudget.mUpdated = aNow;
}

} // namespace

LinkBudget MakeLinkBudget(const Configuration& aConfiguration,
                          const Link& aLink, TimePoint aNow)
{
  // Requests go out from the sending region's entries; answers to the other
  // region's entries come back on the same link.
  const auto senders =
    std::count_if(aConfiguration.mEntries.begin(),
                  aConfiguration.mEntries.end(), [&](const EntryHost& a) {
                    return a.mRegion == aLink.mFrom || a.mRegion == aLink.mTo;
                  });
  LinkBudget out;
  out.mBytesPerSecond = static_cast<double>(aLink.mCapacity.mBitsPerSecond) /
                        kBitsPerByte /
                        static_cast<double>(std::max<long>(senders, 1));
  out.mTokens = out.mBytesPerSecond * kBurstSeconds;
  out.mUpdated = aNow;
  return out;
}

void UpdateLinkBudget(LinkBudget& aBudget, const Configuration& aConfiguration,
                      const Link& aLink, TimePoint aNow)
{
  Refill(aBudget, aNow);
  auto updated = MakeLinkBudget(aConfiguration, aLink, aNow);
  updated.mTokens = std::min(updated.mTokens, aBudget.mTokens);
  aBudget = updated;
}

bool TakeBytes(LinkBudget& aBudget, std::uint64_t aBytes,
               TimePoint aNow) noexcept
{
  Refill(aBudget, aNow);
  if (aBudget.mTokens <= 0) {
    return false;
  }
  aBudget.mTokens -= static_cast<double>(aBytes);
  return true;
}

void ChargeBytes(LinkBudget& aBudget, std::uint64_t aBytes,
                 TimePoint aNow) noexcept
{
  Refill(aBudget, aNow);
  aBudget.mTokens -= static_cast<double>(aBytes);
}

void NoteRequest(RetryBudget& aBudget) noexcept
{
  aBudget.mTokens =
    std::min(aBudget.mMost, aBudget.mTokens + aBudget.mPerRequest);
}

bool TakeRetry(RetryBudget& aBudget) noexcept
{
  if (aBudget.mTokens < 1) {
    return false;
  }
  aBudget.mTokens -= 1;
  return true;
}

} // namespace guavaline
