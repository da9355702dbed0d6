#include <guavaline/membership/membership.hpp>

#include <guavaline/core/hash.hpp>

#include <algorithm>
#include <utility>

namespace guavaline {
namespace {

constexpr std::size_t kSmallFleet = 50;

bool IsNewer(const MemberNews& aNew, const Member& aMember)
{
  if (!aMember.mEverHeard) {
    return true;
  }
  // Counters start from the process's start time in wall milliseconds, so
  // that a later life has higher ones.
  return aNew.mCounter > aMember.mNews.mCounter;
}

void TakeNews(MembershipView& aView, const MemberNews& aNews, TimePoint aNow)
{
  const auto it = aView.mMembers.find(aNews.mName);
  if (it == aView.mMembers.end() || !IsNewer(aNews, it->second)) {
    return;
  }
  auto& member = it->second;
  if (member.mNews.mIncarnation != aNews.mIncarnation) {
    member.mListedLeaving = false;
  }
  member.mNews = aNews;
  member.mHeard = aNow;
  member.mEverHeard = true;
}

} // namespace

MembershipTimes TimesFor(std::size_t aEntries) noexcept
{
  MembershipTimes out;
  if (aEntries > kSmallFleet) {
    out.mPeriod = Millis(1'000);
    out.mSuspectAfter = Millis(30'000);
    out.mGoneAfter = Millis(90'000);
    out.mPeersPerPeriod = 2;
    out.mNewsPerHeartbeat = 4;
  }
  return out;
}

MembershipView MakeView(Incarnation aSelf, const MembershipTimes& aTimes)
{
  MembershipView out;
  out.mOwnNews.mName = aSelf.mEntry;
  out.mOwnNews.mIncarnation = aSelf.mNumber;
  out.mSelf = std::move(aSelf);
  out.mTimes = aTimes;
  return out;
}

void SetMembers(MembershipView& aView, const Configuration& aConfiguration,
                TimePoint aNow)
{
  std::map<std::string, Member> members;
  for (const auto& it : aConfiguration.mEntries) {
    if (it.mName == aView.mSelf.mEntry) {
      continue;
    }
    const auto old = aView.mMembers.find(it.mName);
    if (old != aView.mMembers.end()) {
      members.insert(std::move(*old));
    } else {
      Member member;
      member.mNews.mName = it.mName;
      member.mHeard = aNow;
      members.emplace(it.mName, std::move(member));
    }
  }
  aView.mMembers = std::move(members);
  aView.mTimes = TimesFor(aConfiguration.mEntries.size());
  aView.mPeerOrder.clear();
}

MemberStatus StatusOf(const MembershipView& aView, const std::string& aName,
                      TimePoint aNow)
{
  if (aName == aView.mSelf.mEntry) {
    return aView.mOwnNews.mLeaving ? MemberStatus::Leaving
                                   : MemberStatus::Alive;
  }
  const auto it = aView.mMembers.find(aName);
  if (it == aView.mMembers.end()) {
    return MemberStatus::Gone;
  }
  const auto& member = it->second;
  const auto silence = aNow - member.mHeard;
  if (silence >= aView.mTimes.mGoneAfter) {
    return MemberStatus::Gone;
  }
  if (!member.mEverHeard || silence >= aView.mTimes.mSuspectAfter) {
    return MemberStatus::Suspected;
  }
  return member.mNews.mLeaving || member.mListedLeaving ? MemberStatus::Leaving
                                                        : MemberStatus::Alive;
}

std::vector<std::string> PickPeers(
  MembershipView& aView, const std::function<std::uint64_t()>& aRandom)
{
  std::vector<std::string> out;
  auto& order = aView.mPeerOrder;
  if (order.empty()) {
    for (const auto& it : aView.mMembers) {
      order.push_back(it.first);
    }
    for (std::size_t n = order.size(); n > 1; --n) {
      std::swap(order[n - 1], order[aRandom() % n]);
    }
  }
  while (!order.empty() && out.size() < aView.mTimes.mPeersPerPeriod) {
    out.push_back(std::move(order.back()));
    order.pop_back();
  }
  return out;
}

void Tick(MembershipView& aView)
{
  ++aView.mOwnNews.mCounter;
}

Heartbeat MakeHeartbeat(MembershipView& aView)
{
  Heartbeat out;
  out.mSender = aView.mOwnNews;
  const auto size = aView.mMembers.size();
  const auto count = std::min(size, aView.mTimes.mNewsPerHeartbeat);
  if (size == 0) {
    return out;
  }
  auto it = std::next(aView.mMembers.begin(),
                      static_cast<std::ptrdiff_t>(aView.mNextNews % size));
  for (std::size_t n = 0; n < count; ++n) {
    if (it->second.mEverHeard) {
      out.mNews.push_back(it->second.mNews);
    }
    if (++it == aView.mMembers.end()) {
      it = aView.mMembers.begin();
    }
  }
  aView.mNextNews = (aView.mNextNews + count) % size;
  return out;
}

void TakeHeartbeat(MembershipView& aView, const Heartbeat& aHeartbeat,
                   TimePoint aNow)
{
  TakeNews(aView, aHeartbeat.mSender, aNow);
  for (const auto& it : aHeartbeat.mNews) {
    TakeNews(aView, it, aNow);
  }
}

void NoteListed(MembershipView& aView, const std::string& aName, bool aLeaving)
{
  const auto it = aView.mMembers.find(aName);
  if (it != aView.mMembers.end()) {
    it->second.mListedLeaving = aLeaving;
  }
}

bool AllHaveVersion(const MembershipView& aView, std::uint64_t aVersion,
                    TimePoint aNow)
{
  return std::all_of(
    aView.mMembers.begin(), aView.mMembers.end(), [&](const auto& a) {
      return a.second.mNews.mVersion >= aVersion ||
             StatusOf(aView, a.first, aNow) == MemberStatus::Gone;
    });
}

bool IsFirstFor(const MembershipView& aView, std::uint64_t aSeed,
                TimePoint aNow)
{
  const auto own = HashPair(aSeed, Hash(aView.mSelf.mEntry));
  return std::none_of(
    aView.mMembers.begin(), aView.mMembers.end(), [&](const auto& a) {
      return StatusOf(aView, a.first, aNow) == MemberStatus::Alive &&
             HashPair(aSeed, Hash(a.first)) > own;
    });
}

} // namespace guavaline
