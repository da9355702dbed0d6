#include <guavaline/placement/load.hpp>

#include <algorithm>
#include <cmath>

namespace guavaline {
namespace {

/// A report of others' requests loses half of its weight in this time, about
/// the time in which a target serves a request.
constexpr double kReportHalfLifeMs = 300;
/// Weight of a new report in the average.
constexpr double kReportWeight = 0.2;
/// Slowness fades to 1 by half in this time, so that a target that has
/// recovered is tried again.
constexpr double kSlownessHalfLifeMs = 3'000;
constexpr double kSlownessWeight = 0.3;
constexpr double kMinSlowness = 0.5;
constexpr double kMaxSlowness = 20;
/// Weight of one exchange in the failing part.
constexpr double kFailingWeight = 0.2;
constexpr Millis kFirstEjection{ 500 };
constexpr Millis kMaxEjection{ 4'000 };

double Half(Millis aAge, double aHalfLifeMs)
{
  return std::exp2(-static_cast<double>(aAge.count()) / aHalfLifeMs);
}

Millis Age(TimePoint aThen, TimePoint aNow)
{
  return std::chrono::duration_cast<Millis>(aNow - aThen);
}

} // namespace

void NoteReport(TargetLoad& aLoad, const ReportedLoad& aReport,
                std::uint32_t aOwn, TimePoint aNow) noexcept
{
  const double all = static_cast<double>(aReport.mRunning) + aReport.mWaiting;
  aLoad.mOthers = std::max(0.0, all - aOwn);
  aLoad.mOthersMean += kReportWeight * (aLoad.mOthers - aLoad.mOthersMean);
  aLoad.mReported = aNow;
}

double ExpectedLoad(const TargetLoad& aLoad, TimePoint aNow) noexcept
{
  const double fresh = Half(Age(aLoad.mReported, aNow), kReportHalfLifeMs);
  return aLoad.mOwn + aLoad.mOthersMean +
         fresh * (aLoad.mOthers - aLoad.mOthersMean);
}

void NoteAnswer(TargetLoad& aLoad, Millis aTook, Millis aExpected,
                TimePoint aNow) noexcept
{
  const double ratio =
    std::clamp(static_cast<double>(aTook.count()) /
                 std::max(1.0, static_cast<double>(aExpected.count())),
               kMinSlowness, kMaxSlowness);
  const double present = Slowness(aLoad, aNow);
  aLoad.mSlowness = present + kSlownessWeight * (ratio - present);
  aLoad.mMeasured = aNow;
  aLoad.mFailing *= 1 - kFailingWeight;
  aLoad.mFailures = 0;
  aLoad.mEjectedUntil = {};
}

void NoteFailed(TargetLoad& aLoad, TimePoint aNow) noexcept
{
  aLoad.mFailing += kFailingWeight * (1 - aLoad.mFailing);
  aLoad.mMeasured = aNow;
}

void NoteUnreachable(TargetLoad& aLoad, TimePoint aNow) noexcept
{
  NoteFailed(aLoad, aNow);
  const auto shift = std::min<std::uint32_t>(aLoad.mFailures, 3);
  aLoad.mEjectedUntil =
    aNow + std::min(kFirstEjection * (1U << shift), kMaxEjection);
  ++aLoad.mFailures;
}

double Slowness(const TargetLoad& aLoad, TimePoint aNow) noexcept
{
  const double fresh = Half(Age(aLoad.mMeasured, aNow), kSlownessHalfLifeMs);
  return 1 + fresh * (aLoad.mSlowness - 1);
}

} // namespace guavaline
