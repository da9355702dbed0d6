#pragma once

/// Limits of client accounts: their messages between entries, and what is
/// logged of them.

#include <guavaline/admission/account_limits.hpp>

#include <optional>
#include <string>

namespace guavaline::detail {

struct Entry;
struct RequestState;

/// What an entry, or a region, counted of the accounts' requests.
struct AccountNews
{
  std::string mFrom; ///< Name of the entry or region.
  bool mOfRegion = false;
  bool mPassOn = false; ///< To the entries of the receiver's region.
  std::uint64_t mEntries = 1;
  std::int64_t mAge = 0;     ///< Of the figures, in milliseconds.
  std::int64_t mCounted = 0; ///< For how many milliseconds, up to a window.
  std::vector<std::string> mAccounts;
  std::vector<std::uint64_t> mAsked;    ///< By account.
  std::vector<std::uint64_t> mAdmitted; ///< By account.
};

/// Decides on a request of an account, and charges it where it is admitted.
/// @returns the time until one is expected to be admitted; nothing where this
///          one is
[[nodiscard]] std::optional<Millis> RefusedByAccountLimit(
  Entry& aEntry, const std::string& aAccount, TimePoint aNow);

/// Gives a request back to its account's limit if no target may have run it.
void GiveBackUnrun(Entry& aEntry, const RequestState& aState, TimePoint aNow);

/// Takes in limits and peers as they are now, and reports to the others.
void ShareAccountLimits(Entry& aEntry, TimePoint aNow);

/// Takes in what another entry counted.
void TakeAccountNews(Entry& aEntry, const std::string& aBody);

/// Writes a line for each account that was refused requests since the last one.
void LogAccountLimits(Entry& aEntry, TimePoint aNow);

} // namespace guavaline::detail
