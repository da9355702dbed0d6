#include "operator/explain.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace guavaline::detail;

namespace {

std::vector<LogLine> Read(const std::vector<std::string>& aTexts)
{
  std::vector<LogLine> out;
  for (const auto& it : aTexts) {
    out.push_back(*ParseLogLine(it));
  }
  return out;
}

bool Says(const std::vector<std::string>& aLines, const std::string& aText)
{
  return std::any_of(aLines.begin(), aLines.end(), [&](const auto& a) {
    return a.find(aText) != std::string::npos;
  });
}

/// As an entry wrote them on a played day, shortened.
const std::string kTime = "time=2026-12-04T10:00:0";
const std::vector<std::string> kLines{
  kTime + "3.000Z level=warning host=e1 event=exchange_failed " +
    "request=q7 target=i-05 step=receive peer=10.2.64.38:8721 " +
    "error=\"Connection reset by peer\" reused=yes may_have_run=yes",
  kTime + "3.001Z level=info host=e1 event=request_ended request=q7 route=r1 " +
    "service=s1 status=502 reason=connection_lost target=i-05 sends=1 " +
    "wait_ms=0 run_ms=210 took_ms=80 left_ms=1900 configuration=2 " +
    "view_revision=530 view_age_ms=400",
  kTime + "1.000Z level=info host=e1 event=configuration_accepted version=2 " +
    "before=1",
  kTime + "4.000Z level=warning host=e1 event=target_crashed target=i-05 " +
    "digest=ab",
  kTime + "4.100Z level=info host=e2 event=target_changed target=i-05 " +
    "change=left",
  kTime + "2.000Z level=info host=e1 event=request_ended request=q6 route=r1 " +
    "service=s1 status=503 reason=full target=i-09",
  kTime + "5.000Z level=warning host=e1 event=lines_left_out over_rate=7 " +
    "unread=2",
};

} // namespace

Test(explain, a_line_is_read_with_its_quoted_values)
{
  const auto line = ParseLogLine(kLines[0]);
  cr_assert(line.has_value());
  cr_assert_eq(line->mHost, "e1");
  cr_assert_eq(line->mEvent, "exchange_failed");
  cr_assert_eq(line->Field("error"), "Connection reset by peer");
  cr_assert_eq(line->Field("may_have_run"), "yes");
  cr_assert(line->Field("absent").empty());
  cr_assert_not(ParseLogLine("Segmentation fault").has_value());
  cr_assert_not(ParseLogLine("").has_value());
}

Test(explain, a_lost_request_is_told_with_its_target_and_what_was_believed)
{
  const auto out = ExplainRequest(Read(kLines), "q7");
  cr_assert(Says(out, "exchange with i-05 failed: receive at 10.2.64.38:8721: "
                      "Connection reset by peer; it may have run there"));
  cr_assert(Says(out, "ended with status 502, the connection to the target "
                      "broke"));
  cr_assert(Says(out, "by a view 400 ms old at revision 530"));
  cr_assert(Says(out, "configuration_accepted before=1 version=2"));
  cr_assert(Says(out, "target_crashed"));
  // Neither another request nor what another entry learned.
  cr_assert_not(Says(out, "i-09"));
  cr_assert_not(Says(out, "change=left"));
}

Test(explain, a_refusal_names_its_reason)
{
  const auto out = ExplainRequest(Read(kLines), "q6");
  cr_assert(Says(out, "every target that should serve it had a long queue"));
}

Test(explain, an_unknown_request_says_nothing_and_left_out_lines_are_counted)
{
  cr_assert(ExplainRequest(Read(kLines), "q9").empty());
  cr_assert_eq(CountLeftOut(Read(kLines)), 9U);
}
