#include <guavaline/crashes/crash_news.hpp>

#include <guavaline/core/hash.hpp>

#include <algorithm>
#include <utility>

namespace guavaline {
namespace {

constexpr std::size_t kMaxRefusedInHeartbeat = 8;

} // namespace

CrashNews PackCrashes(const CrashEvidence& aEvidence, TimePoint aNow)
{
  const auto age = [aNow](TimePoint a) {
    return std::chrono::duration_cast<Millis>(aNow - a);
  };
  CrashNews out;
  std::vector<std::uint32_t> uncertain;
  for (const auto& it : aEvidence.mCrashes) {
    if (it.mUncertain) {
      uncertain.push_back(static_cast<std::uint32_t>(out.mDigests.size()));
    }
    out.mDigests.push_back(HexId(it.mDigest));
    out.mLives.push_back(HexId(it.mLife));
    out.mStarted.push_back(age(it.mStarted));
    out.mCrashed.push_back(age(it.mCrashed));
  }
  for (const auto& it : aEvidence.mServed) {
    out.mServed.push_back(HexId(it.mDigest));
    out.mServedAges.push_back(age(it.mEnded));
  }
  if (!uncertain.empty()) {
    out.mUncertain = std::move(uncertain);
  }
  return out;
}

std::optional<CrashEvidence> UnpackCrashes(const CrashNews& aNews,
                                           TimePoint aNow)
{
  const auto n = aNews.mDigests.size();
  if (aNews.mLives.size() != n || aNews.mStarted.size() != n ||
      aNews.mCrashed.size() != n ||
      aNews.mServedAges.size() != aNews.mServed.size()) {
    return std::nullopt;
  }
  CrashEvidence out;
  for (std::size_t k = 0; k < n; ++k) {
    const auto digest = ParseHexId(aNews.mDigests[k]);
    const auto life = ParseHexId(aNews.mLives[k]);
    if (!digest || !life) {
      return std::nullopt;
    }
    out.mCrashes.push_back({ *digest, *life, aNow - aNews.mStarted[k],
                             aNow - aNews.mCrashed[k], false });
  }
  for (const auto it :
       aNews.mUncertain.value_or(std::vector<std::uint32_t>())) {
    if (it >= n) {
      return std::nullopt;
    }
    out.mCrashes[it].mUncertain = true;
  }
  for (std::size_t k = 0; k < aNews.mServed.size(); ++k) {
    const auto digest = ParseHexId(aNews.mServed[k]);
    if (!digest) {
      return std::nullopt;
    }
    out.mServed.push_back({ *digest, aNow - aNews.mServedAges[k] });
  }
  return out;
}

RefusalNews TellRefusals(CrashTable& aTable, TimePoint aNow)
{
  RefusalNews out;
  const auto refused = ListRefused(aTable, aNow, kMaxRefusedInHeartbeat);
  for (const auto it : refused) {
    out.mRefused.push_back(HexId(it));
  }
  const auto evidence =
    EvidenceOf(aTable, refused, aNow, kMaxRefusedInHeartbeat);
  if (!evidence.mCrashes.empty() || !evidence.mServed.empty()) {
    out.mEvidence = PackCrashes(evidence, aNow);
  }
  return out;
}

void HearRefusals(CrashTable& aTable, const RefusalNews& aNews, TimePoint aNow)
{
  const auto evidence =
    aNews.mEvidence ? UnpackCrashes(*aNews.mEvidence, aNow) : std::nullopt;
  if (evidence) {
    HearEvidence(aTable, *evidence, aNow);
  }
  for (const auto& it : aNews.mRefused) {
    const auto digest = ParseHexId(it);
    const bool shown =
      evidence &&
      std::any_of(evidence->mCrashes.begin(), evidence->mCrashes.end(),
                  [&](const Crash& a) { return a.mDigest == digest; });
    // Entries of earlier builds tell no more than the digest.
    if (digest && !shown) {
      NoteRefusedByPeer(aTable, *digest, aNow);
    }
  }
}

} // namespace guavaline
