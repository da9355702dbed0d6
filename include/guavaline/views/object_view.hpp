#pragma once

/// A view of the store's objects of one kind, which entries pass on to each
/// other: one entry of each region watches the store, all others hear from
/// these, and each falls back on the store when what it hears grows old.

#include <guavaline/core/time.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace guavaline {

/// An object, or the removal of one.
struct ObjectChange
{
  std::string mName;
  std::uint64_t mRevision = 0;
  bool mRemoved = false;
  std::string mSpec; ///< JSON text.
};

struct ObjectView
{
  std::uint64_t mRevision = 0; ///< The store's, up to which it is whole.
  bool mListed = false;        ///< It has been whole in this life.
  TimePoint mConfirmed{};      ///< When the store last confirmed it.
  std::map<std::string, ObjectChange> mObjects; ///< By name.
  std::deque<ObjectChange> mRemovals;           ///< The last ones, in order.
  std::uint64_t mRemovalsFrom = 0; ///< Removals after it are all held.
};

/// Takes in changes up to a revision.
/// @returns those that were new to the view
std::vector<ObjectChange> TakeChanges(ObjectView& aView,
                                      const std::vector<ObjectChange>& aChanges,
                                      std::uint64_t aRevision);

/// Takes in a whole listing; objects that are not on it are removed.
/// @returns what it changed
std::vector<ObjectChange> TakeListing(ObjectView& aView,
                                      const std::vector<ObjectChange>& aAll,
                                      std::uint64_t aRevision);

/// @returns the changes after a revision; nothing where they are not all held
[[nodiscard]] std::optional<std::vector<ObjectChange>> ChangesSince(
  const ObjectView& aView, std::uint64_t aRevision);

/// Notes that the view was confirmed.
void Confirm(ObjectView& aView, TimePoint aWhen) noexcept;

/// @returns true for the entry of a region that watches the store for all
/// @param aLive  names of the region's live entries, the own one included
[[nodiscard]] bool IsWatcher(const std::string& aSelf,
                             const std::vector<std::string>& aLive);

/// @returns true for the few entries of a region that look for the store's
///          return on behalf of all
[[nodiscard]] bool IsProber(const std::string& aSelf,
                            const std::vector<std::string>& aLive);

} // namespace guavaline
