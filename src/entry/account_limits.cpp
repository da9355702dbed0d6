#include "entry/account_limits.hpp"

#include "entry/messages.hpp"
#include "entry/request_state.hpp"

#include <guavaline/core/units.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace guavaline::detail {

namespace {

constexpr Millis kLogPeriod{ 1'000 };
/// Reports between regions come at every so many periods.
constexpr std::uint64_t kRegionEvery = 2;
/// Entries that are assumed while the list of them has not been read: a start
/// must not take the whole of a limit.
constexpr std::size_t kUnlistedEntries = 64;
/// Name of the region that stands for them.
constexpr const char* kUnlisted = "";

std::string NumberText(double aNumber)
{
  return DecimalText(aNumber, 2);
}

std::string AgeText(const OthersView& aView)
{
  return MillisText(std::chrono::duration_cast<Millis>(aView.mAge));
}

void SetLimit(Entry& aEntry, const std::string& aAccount,
              const AccountLimit& aLimit, TimePoint aNow)
{
  if (SetAccountLimit(aEntry.mAccountLimits, aAccount, aLimit, aNow)) {
    Log(LogLevel::Info, "account_limit",
        { { "account", aAccount },
          { "limit_per_s", NumberText(aLimit.mPerSecond) },
          { "burst", NumberText(aLimit.mBurst) },
          { "configuration", std::to_string(aEntry.mRouting.mVersion) } });
  }
}

/// Takes in the limits of the active configuration.
void SetLimits(Entry& aEntry, TimePoint aNow)
{
  const auto& accounts = aEntry.mRouting.mAccounts;
  std::vector<std::string> gone;
  for (const auto& [name, use] : aEntry.mAccountLimits.mAccounts) {
    if (accounts.count(name) == 0) {
      gone.push_back(name);
    }
  }
  for (const auto& it : gone) {
    SetLimit(aEntry, it, {}, aNow);
  }
  for (const auto& [name, account] : accounts) {
    SetLimit(aEntry, name, { account.mPerSecond, account.mBurst }, aNow);
  }
}

void SetPeers(Entry& aEntry, TimePoint aNow)
{
  const auto& roster = aEntry.mRoster;
  std::set<std::string> serving;
  for (const auto& it : ServingPeers(roster, aNow)) {
    serving.insert(it.mName);
  }
  std::set<std::string> idle;
  for (const auto& it : LivePeers(roster, aNow)) {
    if (serving.count(it.mName) == 0) {
      idle.insert(it.mName);
    }
  }
  std::map<std::string, std::size_t> regions;
  for (const auto& [name, entry] : roster.mOthers) {
    if (entry.mRecord.mRegion != roster.mSelf.mRegion) {
      ++regions[entry.mRecord.mRegion];
    } else if (entry.mLeaving) {
      idle.insert(name);
    }
  }
  const auto records = aEntry.mFollows.find(ObjectKind::Entries);
  if (records == aEntry.mFollows.end() || !records->second.mView.mListed) {
    regions[kUnlisted] = kUnlistedEntries;
  }
  ExpectPeers(aEntry.mAccountLimits, serving, idle, regions, aNow);
}

AccountNews NewsOf(const AccountReport& aReport, std::string aFrom,
                   bool aOfRegion)
{
  AccountNews out;
  out.mFrom = std::move(aFrom);
  out.mOfRegion = aOfRegion;
  out.mPassOn = aOfRegion;
  out.mEntries = static_cast<std::uint64_t>(std::llround(aReport.mEntries));
  out.mAge = aReport.mAge.count();
  out.mCounted = aReport.mCounted.count();
  for (const auto& it : aReport.mItems) {
    out.mAccounts.push_back(it.mAccount);
    out.mAsked.push_back(it.mFigures.mAsked);
    out.mAdmitted.push_back(it.mFigures.mAdmitted);
  }
  return out;
}

/// @returns nothing where the news is malformed
std::optional<AccountReport> ReportOf(const AccountNews& aNews)
{
  const auto n = aNews.mAccounts.size();
  if (aNews.mFrom.empty() || aNews.mAsked.size() != n ||
      aNews.mAdmitted.size() != n || aNews.mAge < 0 || aNews.mCounted < 0) {
    return std::nullopt;
  }
  AccountReport out;
  out.mEntries = static_cast<double>(aNews.mEntries);
  out.mAge = Millis(aNews.mAge);
  out.mCounted = Millis(aNews.mCounted);
  for (std::size_t k = 0; k < n; ++k) {
    out.mItems.push_back(
      { aNews.mAccounts[k], { aNews.mAsked[k], aNews.mAdmitted[k] } });
  }
  return out;
}

} // namespace

std::optional<Millis> RefusedByAccountLimit(Entry& aEntry,
                                            const std::string& aAccount,
                                            TimePoint aNow)
{
  const auto account = aEntry.mRouting.mAccounts.find(aAccount);
  if (account == aEntry.mRouting.mAccounts.end()) {
    return std::nullopt;
  }
  auto& limits = aEntry.mAccountLimits;
  if (limits.mStarted == TimePoint{}) {
    ShareAccountLimits(aEntry, aNow);
  }
  // A configuration may have changed since the last period.
  SetLimit(aEntry, aAccount,
           { account->second.mPerSecond, account->second.mBurst }, aNow);
  const auto out = TakeRequest(limits, aAccount, aNow);
  if (!out) {
    return out;
  }
  aEntry.mMetrics.Count("account_refused", "account=\"" + aAccount + "\"");
  auto& use = limits.mAccounts.at(aAccount);
  if (aNow - use.mLogged >= kLogPeriod) {
    use.mLogged = aNow;
    LogBounded(LogClass::Failure, LogLevel::Info, "account_limited",
               { { "account", aAccount },
                 { "share", NumberText(use.mOthers.mShare) },
                 { "tokens", NumberText(use.mTokens) },
                 { "asked_per_s", NumberText(use.mOthers.mAsked) },
                 { "admitted_elsewhere", NumberText(use.mOthers.mAdmitted) },
                 { "age_ms", AgeText(use.mOthers) },
                 { "retry_ms", MillisText(*out) } });
  }
  return out;
}

void GiveBackUnrun(Entry& aEntry, const RequestState& aState, TimePoint aNow)
{
  if (!aState.mAccount.empty() && aState.mRuns == 0) {
    GiveBack(aEntry.mAccountLimits, aState.mAccount, aNow);
  }
}

void ShareAccountLimits(Entry& aEntry, TimePoint aNow)
{
  auto& limits = aEntry.mAccountLimits;
  const auto& bounds = aEntry.mSettings.mBounds;
  limits.mBounds = { bounds.mAccountWindow, bounds.mAccountOver,
                     bounds.mAccountSlack };
  SetLimits(aEntry, aNow);
  if (limits.mAccounts.empty()) {
    return;
  }
  SetPeers(aEntry, aNow);
  const auto& self = aEntry.mRoster.mSelf;
  PushAccountNews(aEntry, NewsOf(TellEntry(limits, aNow), self.mName, false),
                  aNow);
  if (++aEntry.mAccountTurn % kRegionEvery == 0 &&
      SpeaksForRegion(limits, self.mName, aNow)) {
    PushAccountNews(aEntry,
                    NewsOf(TellRegion(limits, aNow), self.mRegion, true), aNow);
  }
}

void TakeAccountNews(Entry& aEntry, const std::string& aBody)
{
  AccountNews news;
  if (!FromJson(aBody, news).empty()) {
    return;
  }
  const auto report = ReportOf(news);
  if (!report) {
    return;
  }
  const auto now = Clock::now();
  const auto& self = aEntry.mRoster.mSelf;
  if (!news.mOfRegion) {
    if (news.mFrom != self.mName) {
      HearEntry(aEntry.mAccountLimits, news.mFrom, *report, now);
    }
    return;
  }
  if (news.mFrom == self.mRegion) {
    return;
  }
  HearRegion(aEntry.mAccountLimits, news.mFrom, *report, now);
  if (news.mPassOn) {
    news.mPassOn = false;
    PushAccountNews(aEntry, news, now);
  }
}

void LogAccountLimits(Entry& aEntry, TimePoint aNow)
{
  auto& limits = aEntry.mAccountLimits;
  for (auto& [name, use] : limits.mAccounts) {
    const auto refused = std::exchange(use.mRefused, 0);
    if (refused == 0) {
      continue;
    }
    const auto own = OwnFigures(limits, use, aNow);
    LogBounded(LogClass::Failure, LogLevel::Info, "limited_account",
               { { "account", name },
                 { "limit_per_s", NumberText(use.mLimit.mPerSecond) },
                 { "burst", NumberText(use.mLimit.mBurst) },
                 { "share", NumberText(use.mOthers.mShare) },
                 { "tokens", NumberText(use.mTokens) },
                 { "admitted", std::to_string(own.mAdmitted) },
                 { "admitted_elsewhere", NumberText(use.mOthers.mAdmitted) },
                 { "age_ms", AgeText(use.mOthers) },
                 { "refused", std::to_string(refused) } });
  }
}

} // namespace guavaline::detail
