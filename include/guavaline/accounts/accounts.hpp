#pragma once

/// Which client account a request belongs to, and what that account allows.

#include <guavaline/routing/routes.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavaline {

/// Hashes keys of any string type, so that a look-up copies no text.
struct KeyHash
{
  using is_transparent = void;

  [[nodiscard]] std::size_t operator()(std::string_view aKey) const noexcept
  {
    return std::hash<std::string_view>{}(aKey);
  }
};

/// Two accounts that list the same key.
struct SharedKey
{
  std::string mHolder; ///< The account that the key is taken for.
  std::string mOther;
};

/// The accounts of one configuration by their keys.
struct AccountIndex
{
  std::unordered_map<std::string, std::shared_ptr<const ClientAccount>, KeyHash,
                     std::equal_to<>>
    mByKey;
  std::vector<SharedKey> mShared;
};

/// Builds the index of a configuration. A key that several accounts list
/// belongs to the first of them in the order of names; empty keys are left out.
[[nodiscard]] AccountIndex IndexAccounts(
  const std::map<std::string, ClientAccount>& aAccounts);

/// Reads the key from credentials of the form "Bearer KEY" (RFC 6750); the
/// scheme's name is compared without case.
/// @returns nothing where the text has another form
[[nodiscard]] std::optional<std::string_view> ReadCredentials(
  std::string_view aText) noexcept;

enum class AccountVerdict {
  Admitted = 1,
  UnknownKey,     ///< No key, a malformed one, or one of no account.
  KeyUnconfirmed, ///< A later configuration may have the key.
  NoRegion,       ///< Route and account have no region in common.
};

/// What decides on a request in a configuration with accounts.
struct AccountQuery
{
  const Route& mRoute;
  std::optional<std::string_view> mKey; ///< Nothing: missing or malformed.
  /// The configuration is known to be the one in force.
  bool mConfirmed = false;
};

struct AccountDecision
{
  AccountVerdict mVerdict = AccountVerdict::Admitted;
  std::shared_ptr<const ClientAccount> mAccount; ///< Null for none.
  /// Regions that the request may run in; empty for all.
  std::vector<std::string> mRegions;
  std::uint32_t mPriority = 0;
};

/// Decides whether a request may be served, for which account, where and with
/// which priority.
[[nodiscard]] AccountDecision JudgeRequest(const AccountIndex& aIndex,
                                           const AccountQuery& aQuery);

/// Intersects two lists of allowed regions, of which an empty one allows all.
/// @returns the regions on both lists, in the order of the first; empty for
///          all, nothing where they have none in common
[[nodiscard]] std::optional<std::vector<std::string>> IntersectRegions(
  const std::vector<std::string>& aFirst,
  const std::vector<std::string>& aSecond);

/// @returns true where a view was confirmed so lately that it holds every
///          change that was acknowledged longer than the bound ago
/// @param aBound  how old a view may become
[[nodiscard]] bool IsConfirmed(TimePoint aConfirmed, Millis aBound,
                               TimePoint aNow) noexcept;

} // namespace guavaline
