#include "experiment/spread.hpp"

#include "peers/messages.hpp"

#include <guavaline/membership/membership.hpp>

#include <iomanip>
#include <malloc.h>
#include <ostream>
#include <random>

namespace guavaline::testing {
namespace {

constexpr std::size_t kWarmUp = 3;
constexpr std::size_t kMaxPeriods = 200;
constexpr std::uint64_t kNewVersion = 2;
constexpr std::size_t kSampleEvery = 7;

Configuration EntriesOnly(std::size_t aCount)
{
  Configuration out;
  for (std::size_t n = 0; n < aCount; ++n) {
    EntryHost entry;
    entry.mName = "entry-" + std::to_string(10'000 + n);
    out.mEntries.push_back(std::move(entry));
  }
  return out;
}

/// Counts what the messages weigh.
struct Weigher
{
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0;

  void Note(const Heartbeat& aHeartbeat)
  {
    if (++mMessages % kSampleEvery == 0) {
      mBytes += kSampleEvery * detail::ToJson(aHeartbeat).size();
    }
  }
};

} // namespace

SpreadResult RunSpread(const SpreadQuery& aQuery)
{
  const auto configuration = EntriesOnly(aQuery.mEntries);
  std::mt19937_64 random(aQuery.mSeed);
  const auto draw = [&] { return random(); };
  TimePoint now{ Seconds(1'000) };
  std::vector<MembershipView> views;
  std::vector<bool> dead(aQuery.mEntries, false);
  std::map<std::string, std::size_t> index;
  const auto before = ::mallinfo2().uordblks;
  for (std::size_t n = 0; n < aQuery.mEntries; ++n) {
    const auto& name = configuration.mEntries[n].mName;
    views.push_back(MakeView({ name, n + 1 }, TimesFor(aQuery.mEntries)));
    SetMembers(views.back(), configuration, now);
    views.back().mOwnNews.mVersion = 1;
    index[name] = n;
  }
  SpreadResult out;
  out.mViewBytes = static_cast<double>(::mallinfo2().uordblks - before) /
                   static_cast<double>(aQuery.mEntries);
  const auto deadCount = static_cast<std::size_t>(
    aQuery.mDead * static_cast<double>(aQuery.mEntries));
  for (std::size_t n = 0; n < deadCount; ++n) {
    dead[aQuery.mEntries - 1 - n] = true;
  }
  Weigher weigher;
  const auto period = [&] {
    now += views[0].mTimes.mPeriod;
    std::vector<std::uint64_t> held;
    held.reserve(views.size());
    for (const auto& it : views) {
      held.push_back(it.mOwnNews.mVersion);
    }
    for (std::size_t n = 0; n < views.size(); ++n) {
      if (dead[n]) {
        continue;
      }
      Tick(views[n]);
      for (const auto& it : PickPeers(views[n], draw)) {
        const auto peer = index[it];
        if (dead[peer]) {
          continue;
        }
        const auto sent = MakeHeartbeat(views[n]);
        TakeHeartbeat(views[peer], sent, now);
        const auto reply = MakeHeartbeat(views[peer]);
        TakeHeartbeat(views[n], reply, now);
        weigher.Note(sent);
        weigher.Note(reply);
        // What reached an entry in this period goes on in the next one.
        const auto newer = std::max(held[n], held[peer]);
        auto& one = views[n].mOwnNews.mVersion;
        auto& other = views[peer].mOwnNews.mVersion;
        one = std::max(one, newer);
        other = std::max(other, newer);
      }
    }
  };
  for (std::size_t n = 0; n < kWarmUp; ++n) {
    period();
  }
  for (std::size_t n = 0; n < aQuery.mStart; ++n) {
    views[n].mOwnNews.mVersion = kNewVersion;
  }
  const auto live = aQuery.mEntries - deadCount;
  std::size_t have = aQuery.mStart;
  weigher = {};
  const auto started = Clock::now();
  while (have < live && out.mPeriods < kMaxPeriods) {
    period();
    ++out.mPeriods;
    have = 0;
    for (std::size_t n = 0; n < views.size(); ++n) {
      have += !dead[n] && views[n].mOwnNews.mVersion == kNewVersion ? 1U : 0U;
    }
  }
  const std::chrono::duration<double, std::micro> spent =
    Clock::now() - started;
  const auto periods =
    static_cast<double>(out.mPeriods) * static_cast<double>(live);
  const std::chrono::duration<double> length = views[0].mTimes.mPeriod;
  out.mSeconds = static_cast<double>(out.mPeriods) * length.count();
  out.mMicrosPerPeriod = spent.count() / periods;
  out.mHeartbeatBytes = static_cast<double>(weigher.mBytes) /
                        static_cast<double>(weigher.mMessages);
  out.mBytesPerSecond =
    static_cast<double>(weigher.mBytes) / periods / length.count();
  return out;
}

void ShowSpread(std::ostream& aOut)
{
  aOut << "entries  dead  periods  seconds  bytes/message  bytes/s sent"
          "  us/period  view KB\n";
  for (const std::size_t entries : { 12U, 50U, 100U, 400U, 1'600U, 4'600U }) {
    for (const double dead : { 0.0, 0.05 }) {
      const auto it = RunSpread({ entries, 1, dead, 1 });
      aOut << std::fixed << std::setw(7) << entries << std::setprecision(2)
           << std::setw(6) << dead << std::setw(9) << it.mPeriods
           << std::setprecision(1) << std::setw(9) << it.mSeconds
           << std::setw(15) << it.mHeartbeatBytes << std::setw(14)
           << it.mBytesPerSecond << std::setw(11) << it.mMicrosPerPeriod
           << std::setw(9) << it.mViewBytes / 1024 << '\n';
    }
  }
}

} // namespace guavaline::testing
