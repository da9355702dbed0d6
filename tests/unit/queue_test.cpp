#include <guavaline/admission/queue.hpp>

#include <criterion/criterion.h>

using namespace guavaline;
using namespace std::chrono_literals;

Test(queue, a_request_that_cannot_end_in_time_does_not_wait)
{
  cr_assert(ShouldQueue({ 3, 4, 20ms, 100ms }));
  cr_assert_not(ShouldQueue({ 40, 4, 20ms, 100ms }));
  cr_assert_not(ShouldQueue({ 0, 4, 200ms, 100ms }));
}

Test(queue, the_queue_is_bounded)
{
  cr_assert_not(ShouldQueue({ 100'000, 4, 1ms, 3'600'000ms }));
  cr_assert_not(ShouldQueue({ 8, 0, 1ms, 3'600'000ms }));
}

Test(queue, more_slots_mean_less_waiting)
{
  cr_assert_gt(ExpectedWait({ 16, 2, 20ms, 0ms }).count(),
               ExpectedWait({ 16, 8, 20ms, 0ms }).count());
}
