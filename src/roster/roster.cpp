#include <guavaline/roster/roster.hpp>

#include <guavaline/core/hash.hpp>

#include <algorithm>

namespace guavaline {
namespace {

constexpr std::size_t kPeersPerPeriod = 2;
/// An entry of another region is called each this many periods.
constexpr std::uint64_t kFarEvery = 2;
/// Most addresses in one answer, from the platform's pages.
constexpr std::size_t kMaxNamed = 64;
/// Capacity of an entry whose record does not tell it, that of a small host.
constexpr double kCapacityUntold = 80;
/// Callers keep a look-up for a while. While fewer entries become named, those
/// no longer named send as much as one of this many that are.
constexpr std::size_t kNamedPerStraggler = 5;

/// @returns how long an entry has been silent. In isolation that stays what it
///          was at the last contact.
Millis SilenceOf(const Roster& aRoster, const RosterEntry& aEntry,
                 TimePoint aNow)
{
  const auto known = IsIsolated(aRoster, aNow) ? aRoster.mLastContact : aNow;
  return std::chrono::ceil<Millis>(known - aEntry.mHeard);
}

bool IsLive(const Roster& aRoster, const RosterEntry& aEntry, TimePoint aNow)
{
  return !aEntry.mLeaving && SilenceOf(aRoster, aEntry, aNow) <= kEntrySilence;
}

bool InOwnRegion(const Roster& aRoster, const RosterEntry& aEntry)
{
  return aEntry.mRecord.mRegion == aRoster.mSelf.mRegion;
}

/// Before entries are chosen to serve, all do.
bool IsServing(const Roster& aRoster, const std::string& aName)
{
  return aRoster.mServing.empty() || aRoster.mServing.count(aName) > 0;
}

} // namespace

void NoteContact(Roster& aRoster, TimePoint aNow)
{
  if (aRoster.mLastContact != TimePoint{} && IsIsolated(aRoster, aNow)) {
    const auto isolated = aNow - aRoster.mLastContact;
    for (auto& [name, entry] : aRoster.mOthers) {
      entry.mHeard = std::min(entry.mHeard + isolated, aNow);
    }
  }
  aRoster.mLastContact = std::max(aRoster.mLastContact, aNow);
}

bool IsIsolated(const Roster& aRoster, TimePoint aNow) noexcept
{
  return aNow - aRoster.mLastContact > kContactGap;
}

void TakeRecord(Roster& aRoster, const EntryRecord& aRecord, TimePoint aNow)
{
  if (aRecord.mName == aRoster.mSelf.mName) {
    return;
  }
  auto& entry = aRoster.mOthers[aRecord.mName];
  if (entry.mRecord.mIncarnation != aRecord.mIncarnation) {
    entry.mCounter = 0;
    entry.mLeaving = false;
    entry.mHeard = aNow;
  }
  entry.mRecord = aRecord;
  aRoster.mMaxSeen = std::max(aRoster.mMaxSeen, aRoster.mOthers.size() + 1);
}

void TakeRecordRemoval(Roster& aRoster, const std::string& aName)
{
  aRoster.mOthers.erase(aName);
}

std::vector<EntryNews> TellNews(const Roster& aRoster, TimePoint aNow)
{
  std::vector<EntryNews> out;
  out.push_back({ aRoster.mSelf.mName, aRoster.mSelf.mIncarnation,
                  aRoster.mOwnCounter, aRoster.mLeaving, aRoster.mOwnRate });
  for (const auto& [name, entry] : aRoster.mOthers) {
    if (InOwnRegion(aRoster, entry) && entry.mCounter > 0 &&
        aNow - entry.mHeard <= kHeartbeatPeriod * 3) {
      out.push_back({ name, entry.mRecord.mIncarnation, entry.mCounter,
                      entry.mLeaving, entry.mRate });
    }
  }
  return out;
}

void HearNews(Roster& aRoster, const std::vector<EntryNews>& aNews,
              TimePoint aNow)
{
  NoteContact(aRoster, aNow);
  for (const auto& it : aNews) {
    const auto entry = aRoster.mOthers.find(it.mName);
    if (entry == aRoster.mOthers.end() ||
        entry->second.mRecord.mIncarnation != it.mIncarnation ||
        entry->second.mCounter >= it.mCounter) {
      continue;
    }
    entry->second.mCounter = it.mCounter;
    entry->second.mLeaving = it.mLeaving;
    entry->second.mRate = it.mRate;
    entry->second.mHeard = aNow;
  }
}

std::vector<EntryRecord> LivePeers(const Roster& aRoster, TimePoint aNow)
{
  std::vector<EntryRecord> out;
  for (const auto& [name, entry] : aRoster.mOthers) {
    if (InOwnRegion(aRoster, entry) && IsLive(aRoster, entry, aNow)) {
      out.push_back(entry.mRecord);
    }
  }
  return out;
}

std::vector<EntryRecord> OneOfEachRegion(const Roster& aRoster,
                                         std::uint64_t aDraw)
{
  std::map<std::string, std::vector<const EntryRecord*>> regions;
  for (const auto& [name, entry] : aRoster.mOthers) {
    if (!InOwnRegion(aRoster, entry) && !entry.mLeaving) {
      regions[entry.mRecord.mRegion].push_back(&entry.mRecord);
    }
  }
  std::vector<EntryRecord> out;
  for (const auto& [region, entries] : regions) {
    out.push_back(*entries[aDraw % entries.size()]);
  }
  return out;
}

std::vector<std::string> LiveInRegion(const Roster& aRoster, TimePoint aNow)
{
  std::vector<std::string> out{ aRoster.mSelf.mName };
  for (const auto& [name, entry] : aRoster.mOthers) {
    if (InOwnRegion(aRoster, entry) && IsLive(aRoster, entry, aNow)) {
      out.push_back(name);
    }
  }
  return out;
}

std::size_t CountLiveInRegion(const Roster& aRoster, TimePoint aNow) noexcept
{
  const auto others = std::count_if(
    aRoster.mOthers.begin(), aRoster.mOthers.end(), [&](const auto& a) {
      return InOwnRegion(aRoster, a.second) && IsLive(aRoster, a.second, aNow);
    });
  return 1 + static_cast<std::size_t>(others);
}

std::vector<EntryRecord> PeersToCall(const Roster& aRoster, std::uint64_t aTurn)
{
  std::vector<const EntryRecord*> peers;
  std::vector<const EntryRecord*> far;
  for (const auto& [name, entry] : aRoster.mOthers) {
    (InOwnRegion(aRoster, entry) ? peers : far).push_back(&entry.mRecord);
  }
  std::vector<EntryRecord> out;
  if (!far.empty() && aTurn % kFarEvery == 0) {
    const auto start = Hash(aRoster.mSelf.mName);
    out.push_back(*far[(start + aTurn / kFarEvery) % far.size()]);
  }
  // Peers at distances 1, 2, 4, ... along the ring of names: news reaches all
  // within a few periods over few connections.
  const auto own = static_cast<std::size_t>(
    std::count_if(peers.begin(), peers.end(), [&](const EntryRecord* a) {
      return a->mName < aRoster.mSelf.mName;
    }));
  std::vector<std::size_t> fingers;
  for (std::size_t distance = 1; distance <= peers.size(); distance *= 2) {
    fingers.push_back((own + distance - 1) % peers.size());
  }
  for (std::size_t n = 0; n < std::min(kPeersPerPeriod, fingers.size()); ++n) {
    const auto at = (aTurn * kPeersPerPeriod + n) % fingers.size();
    out.push_back(*peers[fingers[at]]);
  }
  return out;
}

namespace {

/// Keeps as many of the entries as one answer holds. Each entry that answers
/// look-ups keeps others, so that all get their part of the callers.
std::vector<std::string> MostNamed(std::vector<const EntryRecord*> aEntries,
                                   const Roster& aRoster)
{
  if (aEntries.size() > kMaxNamed) {
    const auto seed = Hash(aRoster.mSelf.mName);
    std::nth_element(aEntries.begin(), aEntries.begin() + kMaxNamed,
                     aEntries.end(),
                     [seed](const EntryRecord* a, const EntryRecord* b) {
                       return Hash(a->mName, seed) < Hash(b->mName, seed);
                     });
    aEntries.resize(kMaxNamed);
  }
  std::vector<std::string> out;
  for (const auto* it : aEntries) {
    out.push_back(it->mCallerAddress);
  }
  return out;
}

} // namespace

std::vector<std::string> EntriesFor(const Roster& aRoster,
                                    const std::string& aRegion, TimePoint aNow)
{
  std::vector<const EntryRecord*> near;
  std::vector<const EntryRecord*> elsewhere;
  const auto add = [&](const EntryRecord& a) {
    (a.mRegion == aRegion ? near : elsewhere).push_back(&a);
  };
  // Nothing was chosen yet, or none of those chosen is left.
  const bool all =
    std::none_of(aRoster.mServing.begin(), aRoster.mServing.end(),
                 [&](const std::string& a) {
                   const auto it = aRoster.mOthers.find(a);
                   return it == aRoster.mOthers.end()
                            ? a == aRoster.mSelf.mName && !aRoster.mLeaving
                            : IsLive(aRoster, it->second, aNow);
                 });
  const auto serves = [&](const std::string& aName) {
    return all || aRoster.mServing.count(aName) > 0;
  };
  if (!aRoster.mLeaving && serves(aRoster.mSelf.mName)) {
    add(aRoster.mSelf);
  }
  for (const auto& [name, entry] : aRoster.mOthers) {
    // Of another region, only now and then a heartbeat comes.
    if (!InOwnRegion(aRoster, entry)
          ? !entry.mLeaving && SilenceOf(aRoster, entry, aNow) < kForgetSilence
          : serves(name) && IsLive(aRoster, entry, aNow)) {
      add(entry.mRecord);
    }
  }
  return MostNamed(near.empty() ? std::move(elsewhere) : std::move(near),
                   aRoster);
}

void UpdateServing(Roster& aRoster, TimePoint aNow)
{
  std::vector<ServingCandidate> live;
  double rate = aRoster.mOwnRate;
  double capacity = 0;
  const auto add = [&](const EntryRecord& a) {
    live.push_back({ a.mName, a.mFailureDomain,
                     a.mCapacity > 0 ? a.mCapacity : kCapacityUntold });
    capacity += live.back().mCapacity;
  };
  if (!aRoster.mLeaving) {
    add(aRoster.mSelf);
  }
  for (const auto& [name, entry] : aRoster.mOthers) {
    if (InOwnRegion(aRoster, entry) && IsLive(aRoster, entry, aNow)) {
      add(entry.mRecord);
      rate += entry.mRate;
    }
  }
  NoteRegionRate(aRoster.mRegionRate, rate, capacity, aNow);
  const auto names = ChooseServing(std::move(live), aRoster.mRegionRate.mPeak);
  aRoster.mServing = { names.begin(), names.end() };
}

std::vector<EntryRecord> ServingPeers(const Roster& aRoster, TimePoint aNow)
{
  auto out = LivePeers(aRoster, aNow);
  std::erase_if(
    out, [&](const EntryRecord& a) { return !IsServing(aRoster, a.mName); });
  return out;
}

std::size_t CountSending(const Roster& aRoster, TimePoint aNow) noexcept
{
  const auto live = CountLiveInRegion(aRoster, aNow);
  const auto serving = aRoster.mServing.size();
  const auto stragglers = serving / kNamedPerStraggler + 1;
  return serving == 0 ? live : std::min(live, serving + stragglers);
}

std::size_t SharingEntries(const Roster& aRoster) noexcept
{
  return std::max(aRoster.mMaxSeen, aRoster.mOthers.size() + 1);
}

LimitShare ShareOf(const Roster& aRoster, const std::string& aRegion,
                   std::uint64_t aTarget, std::size_t aMost, TimePoint aNow)
{
  const auto& self = aRoster.mSelf.mName;
  const bool near = aRegion == aRoster.mSelf.mRegion;
  const auto own = HashPair(aTarget, Hash(self));
  bool mayShare = !aRoster.mLeaving && (!near || IsServing(aRoster, self));
  std::size_t all = 1;
  std::size_t rank = 0;
  for (const auto& [name, entry] : aRoster.mOthers) {
    if (near && !(InOwnRegion(aRoster, entry) && IsServing(aRoster, name) &&
                  IsLive(aRoster, entry, aNow))) {
      continue;
    }
    mayShare = mayShare && (near || entry.mRecord.mRegion != aRegion);
    ++all;
    rank += HashPair(aTarget, Hash(name)) > own ? 1U : 0U;
  }
  return { mayShare ? std::min(all, aMost) : 0, rank };
}

double TurnOf(const Roster& aRoster, std::uint64_t aTarget) noexcept
{
  const auto own = HashPair(aTarget, Hash(aRoster.mSelf.mName));
  const auto before = std::count_if(
    aRoster.mOthers.begin(), aRoster.mOthers.end(),
    [&](const auto& a) { return HashPair(aTarget, Hash(a.first)) > own; });
  return static_cast<double>(before) /
         static_cast<double>(aRoster.mOthers.size() + 1);
}

std::vector<EntryRecord> RecordsToRemove(const Roster& aRoster, TimePoint aNow)
{
  std::vector<EntryRecord> out;
  if (aRoster.mLeaving || IsIsolated(aRoster, aNow)) {
    return out;
  }
  for (const auto& [name, entry] : aRoster.mOthers) {
    if (!InOwnRegion(aRoster, entry) ||
        SilenceOf(aRoster, entry, aNow) < kForgetSilence) {
      continue;
    }
    // One live entry of the region removes it: the one with the highest hash.
    const auto seed = entry.mRecord.mIncarnation;
    const auto own = Hash(aRoster.mSelf.mName, seed);
    const bool first = std::none_of(
      aRoster.mOthers.begin(), aRoster.mOthers.end(), [&](const auto& a) {
        return InOwnRegion(aRoster, a.second) &&
               IsLive(aRoster, a.second, aNow) && Hash(a.first, seed) > own;
      });
    if (first) {
      out.push_back(entry.mRecord);
    }
  }
  return out;
}

} // namespace guavaline
