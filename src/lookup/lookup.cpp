#include <guavaline/lookup/lookup.hpp>

#include <guavaline/core/hash.hpp>

#include <algorithm>
#include <set>

namespace guavaline {
namespace {

struct Candidate
{
  std::size_t mEntry = 0;
  Millis mDelay{ 0 };
  std::uint64_t mScore = 0;
};

constexpr Millis kUnknownDelay{ 1'000'000 };

Millis DelayTo(const Configuration& aConfiguration, const std::string& aPlace,
               const std::string& aRegion)
{
  if (aPlace == aRegion) {
    return Millis(0);
  }
  const auto* link = FindLink(aConfiguration, aPlace, aRegion);
  return link != nullptr ? link->mDelay : kUnknownDelay;
}

} // namespace

std::vector<std::size_t> RankEntries(const Configuration& aConfiguration,
                                     const std::string& aPlace,
                                     std::uint64_t aCaller,
                                     const EntryFilter& aUsable,
                                     std::size_t aMost)
{
  std::vector<Candidate> candidates;
  for (std::size_t n = 0; n < aConfiguration.mEntries.size(); ++n) {
    const auto& it = aConfiguration.mEntries[n];
    if (aUsable(it)) {
      candidates.push_back({ n, DelayTo(aConfiguration, aPlace, it.mRegion),
                             HashPair(Hash(it.mName), aCaller) });
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.mDelay != b.mDelay ? a.mDelay < b.mDelay
                                          : a.mScore > b.mScore;
            });
  // First one entry of each failure domain, then the others.
  std::vector<std::size_t> out;
  std::vector<std::size_t> others;
  std::set<std::string> domains;
  for (const auto& it : candidates) {
    const auto& domain = aConfiguration.mEntries[it.mEntry].mFailureDomain;
    (domains.insert(domain).second ? out : others).push_back(it.mEntry);
  }
  out.insert(out.end(), others.begin(), others.end());
  out.resize(std::min(out.size(), aMost));
  return out;
}

} // namespace guavaline
