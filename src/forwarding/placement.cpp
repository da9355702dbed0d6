#include "forwarding/placement.hpp"

#include "daemon/loans.hpp"
#include "daemon/log.hpp"

#include <guavaline/admission/queue.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

constexpr Millis kLinger{ 100 };
constexpr Millis kShiftPeriod{ 100 };
constexpr Millis kDefaultServiceTime{ 50 };
/// Slots left free below which a loan is asked for ahead of need.
constexpr std::uint32_t kFewSlots = 1;

Placement NoPlace(PlacementFailure aFailure)
{
  Placement out;
  out.mFailure = aFailure;
  return out;
}

std::optional<std::uint32_t> IndexOf(const Service& aService,
                                     const std::string& aTarget)
{
  const auto& list = aService.mTargets;
  const auto it = std::find_if(list.begin(), list.end(), [&](const Target& a) {
    return a.mName == aTarget;
  });
  if (it == list.end()) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(it - list.begin());
}

void GiveSlotBack(Node& aNode, const std::string& aService,
                  const std::string& aTarget, const std::string& aRegion)
{
  const auto state = aNode.mServices.find(aService);
  if (state == aNode.mServices.end()) {
    return;
  }
  const auto index = IndexOf(state->second.mService, aTarget);
  if (index && state->second.mSlots.mInUse[*index] > 0) {
    ReleaseSlot(state->second.mSlots, *index);
    WakeWaiters(state->second, aRegion);
    LendToAsker(aNode, aService, aRegion);
  }
}

asio::awaitable<void> GiveSlotBackLater(Node& aNode, std::string aService,
                                        std::string aTarget,
                                        std::string aRegion)
{
  co_await Sleep(aNode, kLinger);
  GiveSlotBack(aNode, aService, aTarget, aRegion);
}

/// Picks the region; an unknown place is served as the first region is.
std::size_t NextRegion(Node& aNode, ServiceState& aState,
                       const std::string& aPlace)
{
  const auto& configuration = aNode.mAccepted.mConfiguration;
  const auto known = aState.mShares.count(aPlace) > 0;
  const auto& place = known ? aPlace : configuration.mRegions.front().mName;
  return PickRegion(aState.mShares[place]);
}

/// Adds up slots of a region's eligible targets.
/// @param aCount  UsableSlots or FreeSlots
template<class Count>
std::uint32_t SlotsIn(const ServiceState& aState, const std::string& aRegion,
                      TimePoint aNow, TimePoint aUntil, Count aCount)
{
  std::uint32_t n = 0;
  for (const auto it :
       EligibleTargets(aState.mService, aRegion, aState.mHealth, aNow)) {
    n += aCount(aState.mSlots, it, aNow, aUntil);
  }
  return n;
}

/// Enters a queue behind all waiters of the same or a higher priority.
void Enter(WaitQueue& aQueue, Waiter& aWaiter)
{
  const auto it =
    std::find_if(aQueue.begin(), aQueue.end(), [&](const Waiter& a) {
      return a.mPriority > aWaiter.mPriority;
    });
  aQueue.insert(it, aWaiter);
}

std::size_t Ahead(const WaitQueue& aQueue, std::uint32_t aPriority)
{
  return static_cast<std::size_t>(
    std::count_if(aQueue.begin(), aQueue.end(), [aPriority](const Waiter& a) {
      return a.mPriority <= aPriority;
    }));
}

Millis ServiceTimeOf(const ServiceState& aState, const std::string& aClass)
{
  const auto it = aState.mServiceTime.find(aClass);
  return it == aState.mServiceTime.end() ? kDefaultServiceTime : it->second;
}

/// Takes a free slot of a region.
std::optional<SlotHold> TryPlace(Node& aNode, ServiceState& aState,
                                 const std::string& aRegion,
                                 const PlacementQuery& aQuery)
{
  const auto now = Clock::now();
  const TargetQuery query{ aState.mService, aRegion, now, aQuery.mDeadline,
                           aQuery.mExcluded };
  const auto target =
    ChooseTarget(query, aState.mSlots, aState.mHealth, aNode.RandomSource());
  if (!target || !TakeSlot(aState.mSlots, *target, now, aQuery.mDeadline)) {
    return std::nullopt;
  }
  if (SlotsIn(aState, aRegion, now, aQuery.mDeadline, FreeSlots) < kFewSlots) {
    WantSlots(aNode, aQuery.mService, aRegion);
  }
  return SlotHold(aNode, aQuery.mService, *target);
}

/// True where the link to another region may carry the request now.
bool TakeLink(Node& aNode, const std::string& aRegion, std::uint64_t aBytes)
{
  const auto it = aNode.mLinks.find(aRegion);
  return it == aNode.mLinks.end() ||
         TakeBytes(it->second, aBytes, Clock::now());
}

bool MayQueue(ServiceState& aState, const std::string& aRegion,
              const PlacementQuery& aQuery, TimePoint aNow)
{
  QueueQuery query;
  query.mAhead =
    Ahead(aState.mRegions[aRegion].mQueue, aQuery.mClass.mPriority);
  query.mUsable = SlotsIn(aState, aRegion, aNow, aNow, UsableSlots);
  query.mServiceTime = ServiceTimeOf(aState, aQuery.mClass.mName);
  query.mLeft = std::chrono::duration_cast<Millis>(aQuery.mDeadline - aNow);
  return ShouldQueue(query);
}

asio::awaitable<Placement> WaitForSlot(Node& aNode, std::string aRegion,
                                       const PlacementQuery& aQuery)
{
  Waiter waiter(aNode.mContext.get_executor());
  waiter.mPriority = aQuery.mClass.mPriority;
  bool entered = false;
  while (true) {
    const auto it = aNode.mServices.find(aQuery.mService);
    const auto now = Clock::now();
    if (it == aNode.mServices.end() || now >= aQuery.mDeadline) {
      co_return NoPlace(PlacementFailure::Full);
    }
    auto& state = it->second;
    auto& queue = state.mRegions[aRegion].mQueue;
    // A newcomer may not pass those that wait already.
    const bool first =
      entered ? &queue.front() == &waiter : Ahead(queue, waiter.mPriority) == 0;
    if (first) {
      if (auto hold = TryPlace(aNode, state, aRegion, aQuery)) {
        if (entered) {
          waiter.unlink();
        }
        // More slots may be free for those behind.
        WakeWaiters(state, aRegion);
        Placement out;
        out.mHold = std::move(*hold);
        co_return out;
      }
    }
    if (EligibleTargets(state.mService, aRegion, state.mHealth, now).empty()) {
      co_return NoPlace(PlacementFailure::NoTarget);
    }
    if (!entered && !MayQueue(state, aRegion, aQuery, now)) {
      co_return NoPlace(PlacementFailure::Full);
    }
    if (!entered) {
      Enter(queue, waiter);
      entered = true;
    }
    WantSlots(aNode, aQuery.mService, aRegion);
    boost::system::error_code ec;
    waiter.mWake.expires_at(std::min(aQuery.mDeadline, now + kShiftPeriod));
    co_await waiter.mWake.async_wait(
      asio::redirect_error(asio::use_awaitable, ec));
  }
}

RegionFactors PresentFactors(const Node& aNode, const ServiceState& aState,
                             TimePoint aNow)
{
  const auto& configuration = aNode.mAccepted.mConfiguration;
  auto out = PlannedFactors(configuration, aState.mService, WallNow());
  for (std::size_t n = 0; n < out.size(); ++n) {
    const auto& region = configuration.mRegions[n].mName;
    if (EligibleTargets(aState.mService, region, aState.mHealth, aNow)
          .empty()) {
      out[n] = 0;
    }
  }
  return out;
}

void MoveShares(Node& aNode, ServiceState& aState, TimePoint aNow)
{
  const auto& configuration = aNode.mAccepted.mConfiguration;
  const auto factors = PresentFactors(aNode, aState, aNow);
  for (std::size_t n = 0; n < configuration.mRegions.size(); ++n) {
    const auto goal = DesiredShares(configuration, aState.mService, n, factors);
    Advance(aState.mShares[configuration.mRegions[n].mName], goal,
            CapOf(aState.mService), aNow);
  }
}

/// Marks the targets of places that are drained; they get no new work.
void MarkDrained(Node& aNode, ServiceState& aState, WallTime aNow)
{
  const auto& configuration = aNode.mAccepted.mConfiguration;
  for (std::size_t n = 0; n < aState.mService.mTargets.size(); ++n) {
    const auto& it = aState.mService.mTargets[n];
    aState.mHealth[n].mDrained =
      IsDrained(configuration, DrainScope::Target, it.mName, aNow) ||
      IsDrained(configuration, DrainScope::FailureDomain, it.mFailureDomain,
                aNow) ||
      IsDrained(configuration, DrainScope::Region, it.mRegion, aNow);
  }
}

} // namespace

SlotHold::SlotHold(Node& aNode, std::string aService, std::uint32_t aTarget)
  : mNode(&aNode)
  , mService(std::move(aService))
  , mTarget(aNode.mServices[mService].mService.mTargets[aTarget])
{
}

SlotHold::~SlotHold()
{
  Release();
}

SlotHold::SlotHold(SlotHold&& aOther) noexcept
  : mNode(std::exchange(aOther.mNode, nullptr))
  , mService(std::move(aOther.mService))
  , mTarget(std::move(aOther.mTarget))
  , mLinger(aOther.mLinger)
{
}

SlotHold& SlotHold::operator=(SlotHold&& aOther) noexcept
{
  if (this != &aOther) {
    Release();
    mNode = std::exchange(aOther.mNode, nullptr);
    mService = std::move(aOther.mService);
    mTarget = std::move(aOther.mTarget);
    mLinger = aOther.mLinger;
  }
  return *this;
}

void SlotHold::Release() noexcept
{
  auto* node = std::exchange(mNode, nullptr);
  if (node == nullptr) {
    return;
  }
  if (mLinger) {
    asio::co_spawn(
      node->mContext,
      GiveSlotBackLater(*node, mService, mTarget.mName, mTarget.mRegion),
      asio::detached);
  } else {
    GiveSlotBack(*node, mService, mTarget.mName, mTarget.mRegion);
  }
}

std::optional<std::uint32_t> SlotHold::Index() const
{
  const auto it = mNode->mServices.find(mService);
  if (it == mNode->mServices.end()) {
    return std::nullopt;
  }
  return IndexOf(it->second.mService, mTarget.mName);
}

asio::awaitable<Placement> Place(Node& aNode, PlacementQuery aQuery)
{
  const auto it = aNode.mServices.find(aQuery.mService);
  if (it == aNode.mServices.end()) {
    co_return NoPlace(PlacementFailure::NoTarget);
  }
  const auto index = NextRegion(aNode, it->second, aQuery.mPlace);
  const auto region = aNode.mAccepted.mConfiguration.mRegions[index].mName;
  it->second.mRegions[region].mPlaced = Clock::now();
  if (!TakeLink(aNode, region, aQuery.mBytes)) {
    co_return NoPlace(PlacementFailure::LinkFull);
  }
  co_return co_await WaitForSlot(aNode, region, aQuery);
}

asio::awaitable<void> MoveTraffic(Node& aNode)
{
  while (!aNode.mStopping) {
    co_await Sleep(aNode, kShiftPeriod);
    const auto now = Clock::now();
    for (auto& [name, state] : aNode.mServices) {
      MarkDrained(aNode, state, WallNow());
      MoveShares(aNode, state, now);
    }
  }
}

} // namespace guavaline::detail
