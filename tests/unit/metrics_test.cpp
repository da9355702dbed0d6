#include <guavaline/metrics/metrics.hpp>

#include <criterion/criterion.h>

using namespace guavaline;
using namespace std::chrono_literals;

Test(metrics, quantiles_are_kept_for_each_service_and_class)
{
  Metrics metrics;
  for (int n = 1; n <= 1'000; ++n) {
    metrics.NoteLatency("bookings", "check",
                        std::chrono::microseconds(n * 100));
  }
  metrics.NoteLatency("bookings", "confirm", 5s);
  const auto half = metrics.Quantile("bookings", "check", 0.5);
  cr_assert_gt(half, 45'000);
  cr_assert_lt(half, 56'000);
  cr_assert_gt(metrics.Quantile("bookings", "confirm", 0.5), 4'000'000);
  cr_assert_eq(metrics.Quantile("bookings", "upload", 0.5), 0);
}

Test(metrics, the_text_has_a_line_for_each_counter)
{
  Metrics metrics;
  metrics.Count("refusals", "reason=\"full\"");
  metrics.Count("refusals", "reason=\"full\"");
  const auto text = metrics.Text();
  cr_assert_neq(text.find("guavaline_refusals_total{reason=\"full\"} 2"),
                std::string::npos);
}
