#include "daemon/loans.hpp"

#include "daemon/loan_support.hpp"
#include "peers/messages.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <set>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

constexpr Millis kBorrowPause{ 100 };
constexpr Millis kReturnPeriod{ 500 };
constexpr Millis kKeepWanted{ 1'000 };
constexpr Millis kKeepPlaced{ 1'000 };
constexpr Millis kAskerMemory{ 500 };
constexpr std::uint32_t kMinWant = 1;
constexpr std::uint32_t kMaxWant = 16;
constexpr std::size_t kLendersPerTry = 4;
/// Part of the owned slots that a lender keeps while they are idle.
constexpr std::uint32_t kKeepDivisor = 4;

/// Idle slots that stay here for this entry's own callers.
std::uint32_t KeptIn(ServiceState& aState, const std::string& aRegion,
                     TimePoint aNow)
{
  if (aNow - aState.mRegions[aRegion].mPlaced >= kKeepPlaced) {
    return 0;
  }
  return std::max(OwnedIn(aState, aRegion) / kKeepDivisor, std::uint32_t{ 1 });
}

bool Answers(const Node& aNode, const std::string& aEntry)
{
  const auto status = StatusOf(aNode.mView, aEntry, Clock::now());
  return status == MemberStatus::Alive || status == MemberStatus::Leaving;
}

/// Entries that may lend: first those that hold slots of this entry, then
/// those of the region, which own most, then all others.
std::vector<std::string> Lenders(Node& aNode, const ServiceState& aState,
                                 const std::string& aRegion, std::size_t aFirst)
{
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& it : aNode.mAccepted.mConfiguration.mEntries) {
    if (it.mName != aNode.mSelf.mEntry && Answers(aNode, it.mName)) {
      (it.mRegion == aRegion ? near : far).push_back(it.mName);
    }
  }
  const auto turn = [aFirst](std::vector<std::string>& a) {
    if (!a.empty()) {
      const auto n = static_cast<std::ptrdiff_t>(aFirst % a.size());
      std::rotate(a.begin(), a.begin() + n, a.end());
    }
  };
  turn(near);
  turn(far);
  near.insert(near.end(), far.begin(), far.end());
  std::set<std::string> holders;
  for (const auto& it : aState.mSlots.mLent) {
    if (RegionOf(aState, it.mTarget) == aRegion) {
      holders.insert(it.mPeer);
    }
  }
  std::stable_partition(near.begin(), near.end(), [&](const std::string& a) {
    return holders.count(a) > 0;
  });
  near.resize(std::min(near.size(), kLendersPerTry + holders.size()));
  return near;
}

std::vector<std::uint64_t> IdsOf(const std::vector<Loan>& aLoans)
{
  std::vector<std::uint64_t> out;
  for (const auto& it : aLoans) {
    out.push_back(it.mId);
  }
  return out;
}

asio::awaitable<std::size_t> BorrowFrom(Node& aNode, std::string aLender,
                                        BorrowQuestion aQuestion)
{
  const auto asked = Clock::now();
  const auto reply = co_await CallEntry(aNode, aLender, kBorrowCall,
                                        ToJson(aQuestion), kLoanCallTimeout);
  auto* state = FindState(aNode, aQuestion.mService);
  BorrowMessage message;
  if (!reply.mBody || !FromJson(*reply.mBody, message).empty() ||
      state == nullptr || aNode.mAccepted.mVersion != aQuestion.mVersion ||
      IsOfEarlierLife(aNode, aLender, message.mLender)) {
    co_return 0;
  }
  for (const auto& it : message.mLoans) {
    Borrow(state->mSlots, { it.mId, aLender, it.mTarget, {} }, asked,
           message.mTerm);
  }
  for (const auto it : message.mReturned) {
    EndLent(state->mSlots, it, aLender);
  }
  const auto n = message.mLoans.size() + message.mReturned.size();
  if (n > 0) {
    WakeWaiters(*state, aQuestion.mRegion);
  }
  co_return n;
}

asio::awaitable<void> BorrowSlots(Node& aNode, BorrowQuestion aQuestion,
                                  std::vector<std::string> aLenders)
{
  const auto wanted = aQuestion.mWant;
  std::size_t got = 0;
  for (const auto& it : aLenders) {
    aQuestion.mWant = wanted - static_cast<std::uint32_t>(got);
    got += co_await BorrowFrom(aNode, it, aQuestion);
    if (got >= wanted) {
      break;
    }
  }
  auto* state = FindState(aNode, aQuestion.mService);
  if (state == nullptr) {
    co_return;
  }
  auto& region = state->mRegions[aQuestion.mRegion];
  region.mBorrowing = false;
  region.mBorrowAfter = Clock::now() + (got > 0 ? Millis(0) : kBorrowPause);
  if (got > 0 && !region.mQueue.empty()) {
    WantSlots(aNode, aQuestion.mService, aQuestion.mRegion);
  }
}

asio::awaitable<void> GiveBack(Node& aNode, std::string aLender,
                               ReturnMessage aMessage)
{
  (void)co_await CallEntry(aNode, aLender, kReturnCall, ToJson(aMessage),
                           kLoanCallTimeout);
}

/// The next idle slot of the region goes to this peer.
void NoteAsker(ServiceState& aState, const BorrowQuestion& aQuestion,
               TimePoint aAsked)
{
  auto& region = aState.mRegions[aQuestion.mRegion];
  region.mAskers[aQuestion.mBorrower] = aAsked;
  region.mAskersExclude = aQuestion.mExcluded;
}

/// Gives one idle borrowed slot back to its owner for a peer that asked here
/// in vain: a borrowed slot is not lent on, but its owner may lend it again.
void PassOn(Node& aNode, ServiceState& aState, const BorrowQuestion& aQuestion,
            TimePoint aNow)
{
  bool taken = false;
  const auto first = [&](const Loan& a) {
    const auto& avoided = aQuestion.mExcluded;
    const bool fits =
      !taken && RegionOf(aState, a.mTarget) == aQuestion.mRegion &&
      std::find(avoided.begin(), avoided.end(), a.mTarget) == avoided.end() &&
      StatusOf(aNode.mView, a.mPeer, aNow) == MemberStatus::Alive;
    taken = taken || fits;
    return fits;
  };
  for (const auto& it : TakeIdleBorrowed(aState.mSlots, aNow, first)) {
    ReturnMessage message;
    message.mBorrower = aNode.mSelf.mEntry;
    message.mService = aQuestion.mService;
    message.mIds = { it.mId };
    message.mFor = aQuestion;
    asio::co_spawn(aNode.mContext,
                   GiveBack(aNode, it.mPeer, std::move(message)),
                   asio::detached);
  }
}

/// Gives back idle loans of regions whose slots were not short lately.
void ReturnIdle(Node& aNode, const std::string& aService, ServiceState& aState,
                TimePoint aNow)
{
  const auto spare = [&](const Loan& a) {
    const auto& region = aState.mRegions[RegionOf(aState, a.mTarget)];
    return aNow - region.mWanted >= kKeepWanted &&
           StatusOf(aNode.mView, a.mPeer, aNow) == MemberStatus::Alive;
  };
  std::map<std::string, ReturnMessage> messages;
  for (const auto& it : TakeIdleBorrowed(aState.mSlots, aNow, spare)) {
    auto& message = messages[it.mPeer];
    message.mBorrower = aNode.mSelf.mEntry;
    message.mService = aService;
    message.mIds.push_back(it.mId);
  }
  for (auto& [lender, message] : messages) {
    asio::co_spawn(aNode.mContext, GiveBack(aNode, lender, std::move(message)),
                   asio::detached);
  }
}

} // namespace

void WantSlots(Node& aNode, const std::string& aService,
               const std::string& aRegion)
{
  auto* state = FindState(aNode, aService);
  if (state == nullptr) {
    return;
  }
  const auto now = Clock::now();
  auto& region = state->mRegions[aRegion];
  region.mWanted = now;
  if (region.mBorrowing || now < region.mBorrowAfter) {
    return;
  }
  region.mBorrowing = true;
  const auto waiting = static_cast<std::uint32_t>(region.mQueue.size());
  BorrowQuestion question;
  question.mBorrower = aNode.mSelf.mEntry;
  question.mVersion = aNode.mAccepted.mVersion;
  question.mService = aService;
  question.mRegion = aRegion;
  question.mWant = std::clamp(waiting, kMinWant, kMaxWant);
  question.mExcluded =
    AvoidedTargets(state->mService, aRegion, state->mHealth, now);
  asio::co_spawn(
    aNode.mContext,
    BorrowSlots(aNode, question,
                Lenders(aNode, *state, aRegion, region.mNextLender++)),
    asio::detached);
}

void LendToAsker(Node& aNode, const std::string& aService,
                 const std::string& aRegion)
{
  auto* state = FindState(aNode, aService);
  if (state == nullptr) {
    return;
  }
  const auto now = Clock::now();
  auto& region = state->mRegions[aRegion];
  std::erase_if(region.mAskers, [now](const auto& a) {
    return now - a.second >= kAskerMemory;
  });
  if (region.mAskers.empty() || !region.mQueue.empty()) {
    return;
  }
  const auto first = std::min_element(
    region.mAskers.begin(), region.mAskers.end(),
    [](const auto& a, const auto& b) { return a.second < b.second; });
  const auto asker = first->first;
  auto offer = MakeOffer(aNode, *state,
                         { asker, aRegion, 1, KeptIn(*state, aRegion, now),
                           LoanTerm(state->mService), region.mAskersExclude });
  if (!offer) {
    return;
  }
  region.mAskers.erase(first);
  asio::co_spawn(aNode.mContext, SendOffer(aNode, asker, std::move(*offer)),
                 asio::detached);
}

void WakeWaiters(ServiceState& aState, const std::string& aRegion)
{
  auto& queue = aState.mRegions[aRegion].mQueue;
  if (!queue.empty()) {
    queue.front().mWake.cancel();
  }
}

asio::awaitable<void> ReturnIdleLoans(Node& aNode)
{
  while (!aNode.mStopping) {
    co_await Sleep(aNode, kReturnPeriod);
    const auto now = Clock::now();
    for (auto& [name, state] : aNode.mServices) {
      ExpireLoans(state.mSlots, now);
      ReturnIdle(aNode, name, state, now);
    }
  }
}

std::string AnswerBorrow(Node& aNode, const std::string& aBody)
{
  BorrowQuestion question;
  BorrowMessage message;
  message.mLender = aNode.mSelf.mNumber;
  if (!FromJson(aBody, question).empty() ||
      question.mVersion != aNode.mAccepted.mVersion) {
    return ToJson(message);
  }
  auto* state = FindState(aNode, question.mService);
  if (state == nullptr || !state->mRegions[question.mRegion].mQueue.empty()) {
    return ToJson(message);
  }
  const auto now = Clock::now();
  const auto back = TakeIdleBorrowed(state->mSlots, now, [&](const Loan& a) {
    return a.mPeer == question.mBorrower &&
           RegionOf(*state, a.mTarget) == question.mRegion;
  });
  message.mReturned = IdsOf(back);
  message.mTerm = LoanTerm(state->mService);
  if (back.size() >= question.mWant) {
    return ToJson(message);
  }
  LendQuery query;
  query.mPeer = question.mBorrower;
  query.mRegion = question.mRegion;
  query.mWant = std::min(question.mWant, kMaxWant) -
                static_cast<std::uint32_t>(back.size());
  query.mKeep = KeptIn(*state, question.mRegion, now);
  query.mTerm = message.mTerm;
  query.mExcluded = question.mExcluded;
  message.mLoans = ToWire(Lend(state->mSlots, state->mService, query, now));
  if (message.mLoans.empty() && back.empty()) {
    NoteAsker(*state, question, now);
    PassOn(aNode, *state, question, now);
  }
  return ToJson(message);
}

std::string AnswerReturn(Node& aNode, const std::string& aBody)
{
  ReturnMessage message;
  if (!FromJson(aBody, message).empty()) {
    return "{}";
  }
  auto* state = FindState(aNode, message.mService);
  if (state == nullptr) {
    return "{}";
  }
  for (const auto it : message.mIds) {
    EndLent(state->mSlots, it, message.mBorrower);
  }
  for (auto& [region, waiting] : state->mRegions) {
    WakeWaiters(*state, region);
  }
  if (message.mFor && message.mFor->mVersion == aNode.mAccepted.mVersion) {
    // Asked before all others that wait here.
    NoteAsker(*state, *message.mFor, Clock::now() - kAskerMemory / 2);
    LendToAsker(aNode, message.mService, message.mFor->mRegion);
  }
  return "{}";
}

} // namespace guavaline::detail
