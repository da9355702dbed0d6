#include <guavaline/accounts/accounts.hpp>

#include <algorithm>

namespace guavaline {
namespace {

constexpr std::string_view kScheme = "bearer";
/// A confirmation tells the state of the store at the time it was sent. It may
/// have been under way for this long, through the store's answer and another
/// entry's message, each of up to 55 ms between regions.
constexpr Millis kConfirmDelay{ 150 };

char ToLower(char aChar) noexcept
{
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a')
                                      : aChar;
}

bool IsVisible(char aChar) noexcept
{
  return aChar > ' ' && aChar <= '~';
}

} // namespace

AccountIndex IndexAccounts(
  const std::map<std::string, ClientAccount>& aAccounts)
{
  AccountIndex out;
  for (const auto& [name, account] : aAccounts) {
    auto copy = std::make_shared<ClientAccount>(account);
    copy->mKeys.clear();
    for (const auto& key : account.mKeys) {
      if (key.empty()) {
        continue;
      }
      const auto [it, added] = out.mByKey.try_emplace(key, copy);
      if (!added && it->second != copy) {
        out.mShared.push_back({ it->second->mName, name });
      }
    }
  }
  return out;
}

std::optional<std::string_view> ReadCredentials(std::string_view aText) noexcept
{
  const auto space = aText.find(' ');
  if (space != kScheme.size() ||
      !std::equal(kScheme.begin(), kScheme.end(), aText.begin(),
                  [](char a, char b) { return a == ToLower(b); })) {
    return std::nullopt;
  }
  aText.remove_prefix(
    std::min(aText.find_first_not_of(' ', space), aText.size()));
  if (aText.empty() || !std::all_of(aText.begin(), aText.end(), IsVisible)) {
    return std::nullopt;
  }
  return aText;
}

AccountDecision JudgeRequest(const AccountIndex& aIndex,
                             const AccountQuery& aQuery)
{
  AccountDecision out;
  out.mRegions = aQuery.mRoute.mRegions;
  out.mPriority = aQuery.mRoute.mPriority;
  const auto it =
    aQuery.mKey ? aIndex.mByKey.find(*aQuery.mKey) : aIndex.mByKey.end();
  if (it == aIndex.mByKey.end()) {
    if (!aQuery.mRoute.mPublic) {
      out.mVerdict = aQuery.mKey && !aQuery.mConfirmed
                       ? AccountVerdict::KeyUnconfirmed
                       : AccountVerdict::UnknownKey;
    }
    return out;
  }
  out.mAccount = it->second;
  out.mPriority = out.mAccount->mPriority.value_or(out.mPriority);
  auto regions = IntersectRegions(out.mRegions, out.mAccount->mRegions);
  if (!regions) {
    out.mVerdict = AccountVerdict::NoRegion;
    return out;
  }
  out.mRegions = std::move(*regions);
  return out;
}

std::optional<std::vector<std::string>> IntersectRegions(
  const std::vector<std::string>& aFirst,
  const std::vector<std::string>& aSecond)
{
  if (aFirst.empty() || aSecond.empty()) {
    return aFirst.empty() ? aSecond : aFirst;
  }
  std::vector<std::string> out;
  std::copy_if(aFirst.begin(), aFirst.end(), std::back_inserter(out),
               [&](const std::string& a) {
                 return std::find(aSecond.begin(), aSecond.end(), a) !=
                        aSecond.end();
               });
  return out.empty() ? std::nullopt : std::optional(std::move(out));
}

bool IsConfirmed(TimePoint aConfirmed, Millis aBound, TimePoint aNow) noexcept
{
  return aNow - aConfirmed <= aBound - kConfirmDelay;
}

} // namespace guavaline
