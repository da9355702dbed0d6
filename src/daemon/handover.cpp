#include "daemon/handover.hpp"

#include "daemon/loan_support.hpp"
#include "daemon/loans.hpp"
#include "daemon/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

constexpr Millis kRecallTimeout{ 500 };
constexpr Millis kRecallPause{ 50 };
/// A host is replaced within this time, or its slots stay idle.
constexpr Millis kOfferTerm{ 120'000 };
constexpr Millis kLoanMargin{ 500 };

std::uint32_t LentIn(const ServiceState& aState, const std::string& aRegion)
{
  return static_cast<std::uint32_t>(std::count_if(
    aState.mSlots.mLent.begin(), aState.mSlots.mLent.end(),
    [&](const Loan& a) { return RegionOf(aState, a.mTarget) == aRegion; }));
}

void Restore(Node& aNode, const std::string& aPeer,
             const RecallMessage& aMessage)
{
  for (const auto& it : aMessage.mLoans) {
    if (auto* state = FindState(aNode, it.mService)) {
      RestoreLent(state->mSlots, { it.mId, aPeer, it.mTarget, {} },
                  Clock::now(), it.mLeft);
    }
  }
}

/// @returns true where a peer holds no loan that is not known here now
asio::awaitable<bool> RecallFrom(Node& aNode, std::string aPeer)
{
  const RecallQuestion question{ aNode.mSelf.mEntry, aNode.mSelf.mNumber };
  const auto reply = co_await CallEntry(aNode, aPeer, kRecallCall,
                                        ToJson(question), kRecallTimeout);
  RecallMessage message;
  if (reply.mBody && FromJson(*reply.mBody, message).empty()) {
    const bool sameIndices = message.mVersion == aNode.mAccepted.mVersion;
    if (sameIndices) {
      Restore(aNode, aPeer, message);
    }
    co_return sameIndices || message.mLoans.empty();
  }
  // Where no process listens, nobody holds a loan.
  co_return IsRefused(reply);
}

/// Peers to give slots of a region to: those of the region where there are
/// any, as callers of the region turn to them.
std::vector<std::string> Heirs(const Node& aNode, const std::string& aRegion)
{
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& it : aNode.mAccepted.mConfiguration.mEntries) {
    if (it.mName != aNode.mSelf.mEntry &&
        StatusOf(aNode.mView, it.mName, Clock::now()) == MemberStatus::Alive) {
      (it.mRegion == aRegion ? near : far).push_back(it.mName);
    }
  }
  return near.empty() ? far : near;
}

void OfferRegion(Node& aNode, ServiceState& aState, const std::string& aRegion,
                 double aPart)
{
  const auto heirs = Heirs(aNode, aRegion);
  const auto goal = static_cast<std::uint32_t>(
    aPart * static_cast<double>(OwnedIn(aState, aRegion)));
  for (auto lent = LentIn(aState, aRegion); lent < goal && !heirs.empty();
       ++lent) {
    const auto& heir = heirs[lent % heirs.size()];
    auto offer =
      MakeOffer(aNode, aState, { heir, aRegion, 1, 0, kOfferTerm, {} });
    if (!offer) {
      return;
    }
    asio::co_spawn(aNode.mContext, SendOffer(aNode, heir, std::move(*offer)),
                   asio::detached);
  }
}

} // namespace

Millis LongestLoan(const Service& aService) noexcept
{
  return std::max(LoanTerm(aService), kOfferTerm) + kLoanMargin;
}

asio::awaitable<void> RecallLoans(Node& aNode)
{
  const auto started = Clock::now();
  const auto& configuration = aNode.mAccepted.mConfiguration;
  const auto quarantine = configuration.mSlotQuarantine;
  Millis longest = quarantine;
  std::vector<std::string> peers;
  for (const auto& it : configuration.mServices) {
    longest = std::max(longest, LongestLoan(it));
  }
  for (const auto& it : configuration.mEntries) {
    if (it.mName != aNode.mSelf.mEntry) {
      peers.push_back(it.mName);
    }
  }
  while (!peers.empty() && Clock::now() < started + longest) {
    std::vector<std::string> left;
    for (const auto& it : peers) {
      const bool done = co_await RecallFrom(aNode, it);
      if (!done) {
        left.push_back(it);
      }
    }
    peers = std::move(left);
    co_await Sleep(aNode, kRecallPause);
  }
  const auto usable = std::max(Clock::now(), started + quarantine);
  for (auto& [name, state] : aNode.mServices) {
    state.mSlots.mUsableFrom = std::min(state.mSlots.mUsableFrom, usable);
  }
  Log(LogLevel::Info, "loans_recalled",
      { { "unanswered", std::to_string(peers.size()) } });
}

asio::awaitable<void> OfferSlots(Node& aNode, double aPart)
{
  for (auto& [name, state] : aNode.mServices) {
    for (const auto& it : aNode.mAccepted.mConfiguration.mRegions) {
      OfferRegion(aNode, state, it.mName, aPart);
    }
  }
  co_return;
}

std::string AnswerRecall(Node& aNode, const std::string& aBody)
{
  RecallQuestion question;
  RecallMessage message;
  if (!FromJson(aBody, question).empty()) {
    return "{}";
  }
  const auto now = Clock::now();
  aNode.mRecalledBy[question.mLender] = question.mIncarnation;
  message.mVersion = aNode.mAccepted.mVersion;
  for (auto& [name, state] : aNode.mServices) {
    for (const auto& it : RecallBorrowed(state.mSlots, question.mLender, now)) {
      const auto left = std::chrono::ceil<Millis>(it.mExpiry - now);
      message.mLoans.push_back(
        { name, it.mId, std::max(left, Millis(0)), it.mTarget });
    }
  }
  return ToJson(message);
}

std::string AnswerOffer(Node& aNode, const std::string& aBody)
{
  OfferMessage message;
  const bool clear = FromJson(aBody, message).empty();
  auto* state = FindState(aNode, message.mService);
  if (!clear || state == nullptr ||
      message.mVersion != aNode.mAccepted.mVersion ||
      IsOfEarlierLife(aNode, message.mLender, message.mIncarnation)) {
    return "{}";
  }
  // The lender's clock started the term before this message came, so that
  // the borrower gives up a margin more than the way took.
  const auto asked = Clock::now() - kLoanCallTimeout;
  for (const auto& it : message.mLoans) {
    Borrow(state->mSlots, { it.mId, message.mLender, it.mTarget, {} }, asked,
           message.mTerm);
  }
  for (auto& [region, waiting] : state->mRegions) {
    WakeWaiters(*state, region);
  }
  return "{}";
}

} // namespace guavaline::detail
