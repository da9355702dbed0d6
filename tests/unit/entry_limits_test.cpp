#include "entry/limits.hpp"

#include <criterion/criterion.h>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;

Test(entry_limits, a_configuration_does_not_lift_the_processs_own_bounds)
{
  EntryLimits process;
  process.mMaxDescriptors = 4'100;
  process.mMemoryMb = 160;
  CallerLimits callers;
  callers.mMaxHeaderBytes = 9'000;
  callers.mMaxBodyBytes = 1'000'000;
  callers.mHeaderTimeout = 3s;
  callers.mIdleTimeout = 12s;
  const auto out = LimitsFor(process, callers);
  cr_assert_eq(out.mMaxConnections, 3'100U);
  cr_assert_eq(out.mMaxBufferedBytes, 40ULL << 20U);
  cr_assert_eq(out.mMaxUnsentBytes, 20ULL << 20U);
  cr_assert_eq(out.mMaxHeaderBytes, 9'000U);
  cr_assert_eq(out.mMaxBodyBytes, 1'000'000U);
  cr_assert(out.mHeaderTimeout == 3s);
  cr_assert(out.mIdleTimeout == 12s);
}

Test(entry_limits, a_process_with_few_descriptors_keeps_half_of_them)
{
  EntryLimits process;
  process.mMaxDescriptors = 600;
  cr_assert_eq(LimitsFor(process, {}).mMaxConnections, 300U);
}
