#include "daemon/loans.hpp"

#include "daemon/log.hpp"
#include "peers/messages.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <set>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

constexpr Millis kBorrowTimeout{ 500 };
constexpr Millis kBorrowPause{ 100 };
constexpr Millis kReturnPeriod{ 500 };
constexpr Millis kKeepWanted{ 1'000 };
constexpr Millis kKeepPlaced{ 1'000 };
constexpr Millis kAskerMemory{ 500 };
constexpr Millis kRecallTimeout{ 500 };
constexpr Millis kRecallPause{ 50 };
/// A host is replaced within this time, or its slots stay idle.
constexpr Millis kOfferTerm{ 120'000 };
constexpr Millis kLoanMargin{ 500 };
constexpr std::uint32_t kLeastWant = 1;
constexpr std::uint32_t kMostWant = 16;
constexpr std::size_t kLendersPerTry = 4;
/// Part of the owned slots that a lender keeps while they are idle.
constexpr std::uint32_t kKeepDivisor = 4;
constexpr const char* kConnectionRefused = "Connection refused";

ServiceState* FindState(Node& aNode, const std::string& aService)
{
  const auto it = aNode.mServices.find(aService);
  return it == aNode.mServices.end() ? nullptr : &it->second;
}

const std::string& RegionOf(const ServiceState& aState, std::uint32_t aTarget)
{
  return aState.mService.mTargets[aTarget].mRegion;
}

std::uint32_t OwnedIn(const ServiceState& aState, const std::string& aRegion)
{
  std::uint32_t n = 0;
  for (std::uint32_t k = 0; k < aState.mService.mTargets.size(); ++k) {
    n += RegionOf(aState, k) == aRegion ? aState.mSlots.mUsableOwned[k] : 0;
  }
  return n;
}

/// Idle slots that stay here for this entry's own callers.
std::uint32_t KeptIn(ServiceState& aState, const std::string& aRegion,
                     TimePoint aNow)
{
  if (aNow - aState.mRegions[aRegion].mPlaced >= kKeepPlaced) {
    return 0;
  }
  return std::max(OwnedIn(aState, aRegion) / kKeepDivisor, std::uint32_t{ 1 });
}

std::uint32_t LentIn(const ServiceState& aState, const std::string& aRegion)
{
  return static_cast<std::uint32_t>(std::count_if(
    aState.mSlots.mLent.begin(), aState.mSlots.mLent.end(),
    [&](const Loan& a) { return RegionOf(aState, a.mTarget) == aRegion; }));
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

/// True for a loan given before the lender started anew and recalled it.
bool IsOfEarlierLife(const Node& aNode, const std::string& aLender,
                     std::uint64_t aIncarnation)
{
  const auto it = aNode.mRecalledBy.find(aLender);
  return it != aNode.mRecalledBy.end() && it->second != aIncarnation;
}

std::vector<LentSlot> ToWire(const std::vector<Loan>& aLoans)
{
  std::vector<LentSlot> out;
  for (const auto& it : aLoans) {
    out.push_back({ it.mId, it.mTarget });
  }
  return out;
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
                                        ToJson(aQuestion), kBorrowTimeout);
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
                           kBorrowTimeout);
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
  co_return reply.mError.mReason == kConnectionRefused;
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

/// Lends slots of one region and makes the message that says so.
std::optional<OfferMessage> MakeOffer(Node& aNode, ServiceState& aState,
                                      const LendQuery& aQuery)
{
  const auto loans = Lend(aState.mSlots, aState.mService, aQuery, Clock::now());
  if (loans.empty()) {
    return std::nullopt;
  }
  return OfferMessage{
    aNode.mSelf.mEntry,    aNode.mSelf.mNumber, aNode.mAccepted.mVersion,
    aState.mService.mName, aQuery.mTerm,        ToWire(loans)
  };
}

asio::awaitable<void> SendOffer(Node& aNode, std::string aHeir,
                                OfferMessage aMessage)
{
  // Where the answer is lost the slots count as lent until the loan ends.
  (void)co_await CallEntry(aNode, aHeir, kOfferCall, ToJson(aMessage),
                           kBorrowTimeout);
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
  question.mWant = std::clamp(waiting, kLeastWant, kMostWant);
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
  query.mWant = std::min(question.mWant, kMostWant) -
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
  const auto asked = Clock::now() - kBorrowTimeout;
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
