#include <guavaline/views/object_view.hpp>

#include <guavaline/core/hash.hpp>

#include <algorithm>
#include <set>

namespace guavaline {
namespace {

/// Removals kept for entries that were out of reach for a while.
constexpr std::size_t kMaxRemovals = 1'000;

/// Entries of a region that look for the store's return: more than one, since
/// a store may turn some entries away and serve the others.
constexpr std::ptrdiff_t kProbers = 3;

/// States kept from before changes: more than the writes of the seconds that a
/// restored store may lose.
constexpr std::size_t kMaxPast = 4'096;

/// @returns how many entries come before this one in the agreed order
std::ptrdiff_t CountAbove(const std::string& aSelf,
                          const std::vector<std::string>& aLive)
{
  const auto own = Hash(aSelf);
  return std::count_if(aLive.begin(), aLive.end(),
                       [own](const std::string& a) { return Hash(a) > own; });
}

void NoteRemoval(ObjectView& aView, const ObjectChange& aChange)
{
  aView.mRemovals.push_back(aChange);
  aView.mRemovals.back().mSpec.clear();
  if (aView.mRemovals.size() > kMaxRemovals) {
    aView.mRemovalsFrom = aView.mRemovals.front().mRevision;
    aView.mRemovals.pop_front();
  }
}

/// @returns true where an object was once as it is said to be now
bool IsPast(const ObjectView& aView, const std::string& aName,
            const ObjectChange* aSaid)
{
  const auto revision = aSaid == nullptr ? 0 : aSaid->mRevision;
  const auto spec = aSaid == nullptr ? 0 : Hash(aSaid->mSpec);
  return std::any_of(
    aView.mPast.begin(), aView.mPast.end(), [&](const PastState& a) {
      return a.mName == aName && a.mRevision == revision && a.mSpecHash == spec;
    });
}

/// Keeps what an object was believed to be before a change; null for none.
void NotePast(ObjectView& aView, const std::string& aName,
              const ObjectChange* aBefore)
{
  PastState past{ aName, 0, 0 };
  if (aBefore != nullptr) {
    past.mRevision = aBefore->mRevision;
    past.mSpecHash = Hash(aBefore->mSpec);
  }
  aView.mPast.push_back(std::move(past));
  if (aView.mPast.size() > kMaxPast) {
    aView.mPast.pop_front();
  }
}

/// @returns what is believed of all objects, doubts included
std::map<std::string, ObjectChange> Believed(const ObjectView& aView)
{
  auto out = aView.mObjects;
  for (const auto& [name, doubt] : aView.mDoubts) {
    if (doubt.mBelieved) {
      out[name] = *doubt.mBelieved;
    } else {
      out.erase(name);
    }
  }
  return out;
}

/// @returns an object of a map, or null
const ObjectChange* Find(const std::map<std::string, ObjectChange>& aObjects,
                         const std::string& aName)
{
  const auto it = aObjects.find(aName);
  return it == aObjects.end() ? nullptr : &it->second;
}

/// @returns what is believed of an object, or null
const ObjectChange* FindBelieved(const ObjectView& aView,
                                 const std::string& aName)
{
  const auto doubt = aView.mDoubts.find(aName);
  if (doubt == aView.mDoubts.end()) {
    return Find(aView.mObjects, aName);
  }
  const auto& believed = doubt->second.mBelieved;
  return believed ? &*believed : nullptr;
}

/// @returns true where the change was new
bool TakeOne(ObjectView& aView, const ObjectChange& aChange)
{
  const auto it = aView.mObjects.find(aChange.mName);
  if (aChange.mRemoved) {
    if (it == aView.mObjects.end() ||
        it->second.mRevision > aChange.mRevision) {
      return false;
    }
    NotePast(aView, aChange.mName, FindBelieved(aView, aChange.mName));
    aView.mDoubts.erase(aChange.mName);
    aView.mObjects.erase(it);
    NoteRemoval(aView, aChange);
    return true;
  }
  if (it != aView.mObjects.end() && it->second.mRevision >= aChange.mRevision) {
    return false;
  }
  if (aView.mListed) {
    NotePast(aView, aChange.mName, FindBelieved(aView, aChange.mName));
  }
  aView.mDoubts.erase(aChange.mName);
  aView.mObjects[aChange.mName] = aChange;
  return true;
}

} // namespace

std::vector<ObjectChange> TakeChanges(ObjectView& aView,
                                      const std::vector<ObjectChange>& aChanges,
                                      std::uint64_t aRevision)
{
  std::vector<ObjectChange> out;
  for (const auto& it : aChanges) {
    // Older ones are in the view already, or were removed since.
    if (it.mRevision > aView.mRevision && TakeOne(aView, it)) {
      out.push_back(it);
    }
  }
  aView.mRevision = std::max(aView.mRevision, aRevision);
  return out;
}

std::vector<ObjectChange> TakeListing(ObjectView& aView,
                                      const std::vector<ObjectChange>& aAll,
                                      std::uint64_t aRevision)
{
  std::vector<ObjectChange> out;
  if (aView.mListed && aRevision < aView.mRevision) {
    return out;
  }
  std::set<std::string> listed;
  for (const auto& it : aAll) {
    listed.insert(it.mName);
    if (TakeOne(aView, it)) {
      out.push_back(it);
    }
  }
  std::vector<ObjectChange> missing;
  for (const auto& [name, object] : aView.mObjects) {
    if (listed.count(name) == 0) {
      missing.push_back({ name, aRevision, true, {} });
    }
  }
  for (const auto& it : missing) {
    TakeOne(aView, it);
    out.push_back(it);
  }
  if (!aView.mListed) {
    aView.mRemovalsFrom = aRevision;
  }
  aView.mRevision = aRevision;
  aView.mListed = true;
  return out;
}

std::vector<ObjectChange> TakeRestored(ObjectView& aView,
                                       const std::vector<ObjectChange>& aAll,
                                       std::uint64_t aEpoch,
                                       std::uint64_t aRevision,
                                       const DoubtTimes& aTimes, TimePoint aNow)
{
  std::vector<ObjectChange> out;
  const auto believed = Believed(aView);
  std::map<std::string, ObjectChange> said;
  std::set<std::string> names;
  for (const auto& it : aAll) {
    said[it.mName] = it;
    names.insert(it.mName);
  }
  for (const auto& it : believed) {
    names.insert(it.first);
  }
  std::map<std::string, Doubt> doubts;
  for (const auto& name : names) {
    const auto* now = Find(said, name);
    const auto* before = Find(believed, name);
    if (now != nullptr && before != nullptr && now->mSpec == before->mSpec) {
      continue;
    }
    const auto time = now == nullptr ? aTimes.mAbsent : aTimes.mPresent;
    if (time.count() > 0 && IsPast(aView, name, now)) {
      auto& doubt = doubts[name];
      doubt.mUntil = aNow + time;
      if (before != nullptr) {
        doubt.mBelieved = *before;
      }
      continue;
    }
    NotePast(aView, name, before);
    out.push_back(now != nullptr ? *now
                                 : ObjectChange{ name, aRevision, true, {} });
  }
  aView.mEpoch = aEpoch;
  aView.mRevision = aRevision;
  aView.mObjects = std::move(said);
  aView.mDoubts = std::move(doubts);
  aView.mRemovals.clear();
  aView.mRemovalsFrom = aRevision;
  return out;
}

std::vector<ObjectChange> SettleDoubts(ObjectView& aView, TimePoint aNow)
{
  std::vector<ObjectChange> out;
  for (auto it = aView.mDoubts.begin(); it != aView.mDoubts.end();) {
    if (aNow < it->second.mUntil) {
      ++it;
      continue;
    }
    const auto* said = Find(aView.mObjects, it->first);
    out.push_back(said != nullptr
                    ? *said
                    : ObjectChange{ it->first, aView.mRevision, true, {} });
    it = aView.mDoubts.erase(it);
  }
  return out;
}

std::optional<std::vector<ObjectChange>> ChangesSince(const ObjectView& aView,
                                                      std::uint64_t aRevision)
{
  if (!aView.mListed || aRevision < aView.mRemovalsFrom) {
    return std::nullopt;
  }
  std::vector<ObjectChange> out;
  for (const auto& it : aView.mRemovals) {
    if (it.mRevision > aRevision) {
      out.push_back(it);
    }
  }
  for (const auto& it : aView.mObjects) {
    if (it.second.mRevision > aRevision) {
      out.push_back(it.second);
    }
  }
  std::sort(out.begin(), out.end(),
            [](const ObjectChange& a, const ObjectChange& b) {
              return a.mRevision < b.mRevision;
            });
  return out;
}

void Confirm(ObjectView& aView, TimePoint aWhen) noexcept
{
  aView.mConfirmed = std::max(aView.mConfirmed, aWhen);
}

bool IsWatcher(const std::string& aSelf, const std::vector<std::string>& aLive)
{
  return CountAbove(aSelf, aLive) == 0;
}

bool IsProber(const std::string& aSelf, const std::vector<std::string>& aLive)
{
  return CountAbove(aSelf, aLive) < kProbers;
}

} // namespace guavaline
