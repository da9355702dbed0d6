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

/// @returns true where the change was new
bool TakeOne(ObjectView& aView, const ObjectChange& aChange)
{
  const auto it = aView.mObjects.find(aChange.mName);
  if (aChange.mRemoved) {
    if (it == aView.mObjects.end() ||
        it->second.mRevision > aChange.mRevision) {
      return false;
    }
    aView.mObjects.erase(it);
    NoteRemoval(aView, aChange);
    return true;
  }
  if (it != aView.mObjects.end() && it->second.mRevision >= aChange.mRevision) {
    return false;
  }
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
