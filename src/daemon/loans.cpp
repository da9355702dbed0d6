#include "daemon/loans.hpp"

#include "daemon/log.hpp"
#include "peers/messages.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

constexpr Millis kBorrowTimeout{ 500 };
constexpr Millis kBorrowPause{ 100 };
constexpr Millis kRecallTimeout{ 500 };
constexpr Millis kRecallPause{ 50 };
constexpr const char* kConnectionRefused = "Connection refused";
constexpr Millis kReturnPeriod{ 1'000 };
constexpr Millis kKeepWanted{ 2'000 };
constexpr std::uint32_t kLeastWant = 2;
constexpr std::uint32_t kMostWant = 16;
constexpr std::size_t kLendersPerTry = 4;
/// Part of the idle slots that a lender keeps, as a divisor.
constexpr std::uint32_t kKeepDivisor = 4;

std::uint32_t OwnedIn(const ServiceState& aState, const std::string& aRegion)
{
  std::uint32_t n = 0;
  for (std::size_t k = 0; k < aState.mService.mTargets.size(); ++k) {
    if (aState.mService.mTargets[k].mRegion == aRegion) {
      n += aState.mSlots.mUsableOwned[k];
    }
  }
  return n;
}

/// Entries that may lend, those of the region first as they own most.
std::vector<std::string> Lenders(Node& aNode, const std::string& aRegion,
                                 std::size_t aFirst)
{
  const auto now = Clock::now();
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& it : aNode.mAccepted.mConfiguration.mEntries) {
    const auto status = StatusOf(aNode.mView, it.mName, now);
    const bool answers =
      status == MemberStatus::Alive || status == MemberStatus::Leaving;
    if (it.mName != aNode.mSelf.mEntry && answers) {
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
  near.resize(std::min(near.size(), kLendersPerTry));
  return near;
}

/// True for a loan given before the lender started anew and recalled it.
bool IsOfEarlierLife(const Node& aNode, const std::string& aLender,
                     std::uint64_t aIncarnation)
{
  const auto it = aNode.mRecalledBy.find(aLender);
  return it != aNode.mRecalledBy.end() && it->second != aIncarnation;
}

void Restore(Node& aNode, const std::string& aPeer,
             const RecallMessage& aMessage)
{
  const auto now = Clock::now();
  for (const auto& it : aMessage.mLoans) {
    const auto state = aNode.mServices.find(it.mService);
    if (state != aNode.mServices.end()) {
      RestoreLent(state->second.mSlots, { it.mId, aPeer, it.mSlots, {} }, now,
                  it.mLeft);
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

void UseOwnedFrom(Node& aNode, TimePoint aTime)
{
  for (auto& [name, state] : aNode.mServices) {
    state.mSlots.mUsableFrom = std::min(state.mSlots.mUsableFrom, aTime);
  }
}

asio::awaitable<bool> BorrowFrom(Node& aNode, std::string aLender,
                                 BorrowQuestion aQuestion)
{
  const auto asked = Clock::now();
  const auto reply = co_await CallEntry(aNode, aLender, kBorrowCall,
                                        ToJson(aQuestion), kBorrowTimeout);
  const auto it = aNode.mServices.find(aQuestion.mService);
  BorrowMessage message;
  if (!reply.mBody || !FromJson(*reply.mBody, message).empty() ||
      message.mSlots.empty() || it == aNode.mServices.end() ||
      aNode.mAccepted.mVersion != aQuestion.mVersion ||
      IsOfEarlierLife(aNode, aLender, message.mLender)) {
    co_return false;
  }
  Borrow(it->second.mSlots, { message.mId, aLender, message.mSlots, {} }, asked,
         message.mTerm);
  Log(LogLevel::Debug, "slots_borrowed",
      { { "service", aQuestion.mService },
        { "region", aQuestion.mRegion },
        { "lender", aLender } });
  for (std::uint32_t n = 0; n < aQuestion.mWant; ++n) {
    WakeWaiters(it->second, aQuestion.mRegion);
  }
  co_return true;
}

asio::awaitable<void> BorrowSlots(Node& aNode, std::string aService,
                                  std::string aRegion, std::uint32_t aWant,
                                  std::size_t aFirst)
{
  const BorrowQuestion question{ aNode.mSelf.mEntry, aNode.mAccepted.mVersion,
                                 aService, aRegion, aWant };
  bool done = false;
  for (const auto& it : Lenders(aNode, aRegion, aFirst)) {
    done = co_await BorrowFrom(aNode, it, question);
    if (done) {
      break;
    }
  }
  const auto it = aNode.mServices.find(aService);
  if (it == aNode.mServices.end()) {
    co_return;
  }
  auto& region = it->second.mRegions[aRegion];
  region.mBorrowing = false;
  region.mBorrowAfter = Clock::now() + (done ? Millis(0) : kBorrowPause);
  if (done && !region.mQueue.empty()) {
    WantSlots(aNode, aService, aRegion);
  }
}

asio::awaitable<void> GiveBack(Node& aNode, std::string aService, Loan aLoan)
{
  const ReturnMessage message{ aNode.mSelf.mEntry, aService, aLoan.mId };
  (void)co_await CallEntry(aNode, aLoan.mPeer, kReturnCall, ToJson(message),
                           kBorrowTimeout);
}

bool WantedLately(const ServiceState& aState, TimePoint aNow)
{
  return std::any_of(
    aState.mRegions.begin(), aState.mRegions.end(),
    [aNow](const auto& a) { return aNow - a.second.mWanted < kKeepWanted; });
}

} // namespace

void WantSlots(Node& aNode, const std::string& aService,
               const std::string& aRegion)
{
  const auto it = aNode.mServices.find(aService);
  if (it == aNode.mServices.end()) {
    return;
  }
  const auto now = Clock::now();
  auto& region = it->second.mRegions[aRegion];
  region.mWanted = now;
  if (region.mBorrowing || now < region.mBorrowAfter) {
    return;
  }
  region.mBorrowing = true;
  const auto waiting = static_cast<std::uint32_t>(region.mQueue.size());
  const auto want = std::clamp(waiting, kLeastWant, kMostWant);
  asio::co_spawn(
    aNode.mContext,
    BorrowSlots(aNode, aService, aRegion, want, region.mNextLender++),
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
      if (WantedLately(state, now)) {
        continue;
      }
      for (auto& it : TakeIdleBorrowed(state.mSlots, now)) {
        asio::co_spawn(aNode.mContext, GiveBack(aNode, name, std::move(it)),
                       asio::detached);
      }
    }
  }
}

asio::awaitable<void> RecallLoans(Node& aNode)
{
  const auto started = Clock::now();
  const auto& configuration = aNode.mAccepted.mConfiguration;
  Millis longest = configuration.mSlotQuarantine;
  std::vector<std::string> peers;
  for (const auto& it : configuration.mServices) {
    longest = std::max(longest, LoanTerm(it));
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
  UseOwnedFrom(
    aNode, std::max(Clock::now(),
                    started + aNode.mAccepted.mConfiguration.mSlotQuarantine));
  Log(LogLevel::Info, "loans_recalled",
      { { "unanswered", std::to_string(peers.size()) } });
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
        { name, it.mId, std::max(left, Millis(0)), it.mSlots });
    }
  }
  return ToJson(message);
}

std::string AnswerBorrow(Node& aNode, const std::string& aBody)
{
  BorrowQuestion question;
  BorrowMessage message;
  if (!FromJson(aBody, question).empty() ||
      question.mVersion != aNode.mAccepted.mVersion) {
    return ToJson(message);
  }
  const auto it = aNode.mServices.find(question.mService);
  if (it == aNode.mServices.end()) {
    return ToJson(message);
  }
  auto& state = it->second;
  if (!state.mRegions[question.mRegion].mQueue.empty()) {
    return ToJson(message);
  }
  const auto term = LoanTerm(state.mService);
  const auto keep = OwnedIn(state, question.mRegion) / kKeepDivisor;
  const auto loan =
    Lend(state.mSlots, state.mService, question.mBorrower, question.mRegion,
         std::min(question.mWant, kMostWant), keep, Clock::now(), term);
  message = { aNode.mSelf.mNumber, loan.mId, term, loan.mSlots };
  return ToJson(message);
}

std::string AnswerReturn(Node& aNode, const std::string& aBody)
{
  ReturnMessage message;
  if (FromJson(aBody, message).empty()) {
    const auto it = aNode.mServices.find(message.mService);
    if (it != aNode.mServices.end()) {
      EndLent(it->second.mSlots, message.mId, message.mBorrower);
    }
  }
  return "{}";
}

} // namespace guavaline::detail
