#include <guavaline/placement/rate_limit.hpp>

namespace guavaline {
namespace {

LimitChange ChangeOf(const std::optional<double>& aOld,
                     const std::optional<double>& aNew) noexcept
{
  if (aOld == aNew) {
    return LimitChange::None;
  }
  if (!aNew) {
    return LimitChange::Ended;
  }
  return aOld ? LimitChange::Changed : LimitChange::Named;
}

} // namespace

LimitChange TakeAnswer(RateLimit& aLimit, std::optional<double> aPerSecond,
                       TimePoint aSent, TimePoint aNow) noexcept
{
  auto& statement = aLimit.mStatement;
  if (!aPerSecond && (!statement.mPerSecond || aSent < statement.mStated)) {
    return LimitChange::None;
  }
  const auto out = ChangeOf(statement.mPerSecond, aPerSecond);
  statement = { aPerSecond, aNow };
  return out;
}

} // namespace guavaline
