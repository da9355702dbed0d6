#include "crash_fleet.hpp"

#include "entry/crashes.hpp"
#include "entry/messages.hpp"

#include "adapter.hpp"
#include "entry_fixtures.hpp"
#include "fixtures.hpp"

#include <guavaline/core/units.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <criterion/criterion.h>

#include <utility>

namespace guavaline::tests {

using namespace detail;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr const char* kAddress = "127.0.0.1";
constexpr Millis kTellPeriod{ 200 };
/// Of callers.
constexpr Millis kTimeLimit{ 2'000 };

asio::awaitable<void> TellOthers(Entry& aEntry)
{
  while (true) {
    co_await Pause(aEntry, kTellPeriod);
    TellCrashes(aEntry);
  }
}

asio::awaitable<void> Wait(asio::io_context& aContext, Millis aTime)
{
  asio::steady_timer timer(aContext, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

Fleet::Fleet(const FleetOptions& aOptions)
  : mOptions(aOptions)
{
  for (std::size_t n = 0; n < mOptions.mEntries; ++n) {
    AddEntry(n);
  }
  for (const auto& it : mEntries) {
    for (const auto& other : mEntries) {
      TakeRecord(it->mRoster, other->mRoster.mSelf, Clock::now());
    }
    StartPeering(mContext, *it);
    Spawn(TellOthers(*it));
  }
  for (std::size_t n = 0; n < mOptions.mTargets; ++n) {
    AddTarget(n);
  }
}

void Fleet::SendInTurn(const std::string& aPath, Millis aGap, Millis aTime)
{
  Spawn(SendAll(aPath, aGap, aTime));
  Run(aTime + 500ms);
}

void Fleet::KeepSending(std::vector<std::string> aPaths, Millis aGap,
                        Millis aTime)
{
  Spawn(StartAll(std::move(aPaths), aGap, aTime));
}

void Fleet::CrashDomain(std::size_t aDomain, Millis aAfter)
{
  Spawn(CrashLater(aDomain, aAfter));
}

void Fleet::Run(Millis aTime)
{
  mContext.run_for(aTime);
}

unsigned Fleet::SendOne(std::size_t aEntry, const std::string& aPath)
{
  unsigned out = 0;
  Spawn([](Fleet& aFleet, std::size_t aAt, std::string aWhat,
           unsigned& aStatus) -> asio::awaitable<void> {
    aStatus = co_await aFleet.Send(aAt, aWhat);
  }(*this, aEntry, aPath, out));
  for (int n = 0; n < 500 && out == 0; ++n) {
    mContext.run_for(10ms);
  }
  return out;
}

std::map<unsigned, std::size_t> Fleet::SendEach(
  const std::vector<std::string>& aPaths)
{
  std::map<unsigned, std::size_t> out;
  const auto count = [](Fleet& aFleet, std::size_t aAt, std::string aPath,
                        auto& aOut) -> asio::awaitable<void> {
    const auto status = co_await aFleet.Send(aAt, aPath);
    ++aOut[status];
  };
  for (std::size_t n = 0; n < aPaths.size(); ++n) {
    Spawn(count(*this, n % mEntries.size(), aPaths[n], out));
    Run(20ms);
  }
  Run(kTimeLimit + 500ms);
  return out;
}

void Fleet::Spawn(asio::awaitable<void> aTask)
{
  asio::co_spawn(mContext, std::move(aTask), asio::detached);
}

void Fleet::AddEntry(std::size_t aIndex)
{
  auto settings = EntrySettingsOf("e" + std::to_string(aIndex));
  settings.mAddress = kAddress;
  settings.mPeers = { kAddress, mPorts.Pick(kAddress) };
  auto entry =
    std::make_unique<Entry>(mContext, settings, platform::MakeAdapter(mStore));
  ServeOneRoute(*entry, mOptions.mKind);
  auto& route = entry->mRouting.mRoutes[0];
  route.mPathPrefix = "/";
  route.mTimeout = Millis(0);
  mEntries.push_back(std::move(entry));
}

void Fleet::AddTarget(std::size_t aIndex)
{
  testing::PlatformTargetOptions options;
  options.mId = "t" + std::to_string(aIndex);
  options.mService = "service";
  options.mAddress = kAddress;
  options.mPort = mPorts.Pick(kAddress);
  options.mRefusesFalsely = false;
  options.mMeanMs = static_cast<double>(mOptions.mMeanRun.count());
  mTargets.push_back(std::make_unique<testing::PlatformTarget>(
    mContext, options, mHistory, aIndex));
  auto& target = *mTargets.back();
  target.SetCrashManner(mOptions.mManner);
  target.OnCrash([this, &target] { NoteCrashOf(target); });
  cr_assert(target.Start().empty());
  Register(target, ++mStarts);
}

void Fleet::NoteCrashOf(testing::PlatformTarget& aTarget)
{
  mCrashes.push_back(Clock::now());
  Spawn(ComeBack(aTarget, mCrashes.size()));
}

void Fleet::Register(const testing::PlatformTarget& aTarget,
                     std::int64_t aStarted)
{
  const auto& about = aTarget.About();
  auto registration =
    TargetAt(about.mId, about.mAddress + ":" + std::to_string(about.mPort));
  registration.mStarted = aStarted;
  const auto index = std::stoul(about.mId.substr(1));
  registration.mFailureDomain =
    "d" + std::to_string(index % mOptions.mDomains + 1);
  for (const auto& it : mEntries) {
    TakeTargetRegistration(*it, registration, Clock::now());
  }
}

asio::awaitable<void> Fleet::CrashLater(std::size_t aDomain, Millis aAfter)
{
  co_await Wait(mContext, aAfter);
  for (auto n = aDomain; n < mTargets.size(); n += mOptions.mDomains) {
    mTargets[n]->Crash();
    NoteCrashOf(*mTargets[n]);
  }
}

/// Every second one that begins another life has the id that it had.
asio::awaitable<void> Fleet::ComeBack(testing::PlatformTarget& aTarget,
                                      std::size_t aCrash)
{
  const auto old = aTarget.About().mId;
  const bool renamed =
    !mOptions.mSameLife && (mOptions.mMoves || aCrash % 2 == 0);
  co_await Wait(mContext, mOptions.mDownTime);
  aTarget.Become(renamed ? old + "'" : old, "service");
  if (mOptions.mMoves) {
    aTarget.MoveTo(mPorts.Pick(kAddress));
  }
  cr_assert(aTarget.Start().empty());
  if (!mOptions.mSameLife) {
    Register(aTarget, ++mStarts);
  }
  if (!renamed) {
    co_return;
  }
  co_await Wait(mContext, mOptions.mLapseTime - mOptions.mDownTime);
  for (const auto& it : mEntries) {
    TakeTargetRemoval(*it, old, Clock::now());
  }
}

asio::awaitable<unsigned> Fleet::Send(std::size_t aEntry, std::string aPath)
{
  HttpRequest request;
  request.mArrived = Clock::now();
  request.mHeaders = { { "Host", "a.example" },
                       { "X-Request-Id", "q" + std::to_string(++mSent) },
                       { "Cookie", "X-Affinity-Key=" + aPath.substr(1) },
                       { "X-Deadline-Ms", MillisText(kTimeLimit) } };
  request.mTarget = std::move(aPath);
  const auto out =
    co_await ForwardRequest(*mEntries[aEntry], std::move(request));
  co_return out.mStatus;
}

asio::awaitable<void> Fleet::SendAll(std::string aPath, Millis aGap,
                                     Millis aTime)
{
  const auto end = Clock::now() + aTime;
  for (std::size_t n = 0; Clock::now() < end; ++n) {
    co_await Send(n % mEntries.size(), aPath);
    co_await Wait(mContext, aGap);
  }
}

asio::awaitable<void> Fleet::StartAll(std::vector<std::string> aPaths,
                                      Millis aGap, Millis aTime)
{
  const auto end = Clock::now() + aTime;
  for (std::size_t n = 0; Clock::now() < end; ++n) {
    asio::co_spawn(mContext,
                   Send(n % mEntries.size(), aPaths[n % aPaths.size()]),
                   asio::detached);
    co_await Wait(mContext, aGap);
  }
}

} // namespace guavaline::tests
