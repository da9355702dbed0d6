#include "operator/explain.hpp"

#include "operator/commands.hpp"

#include <algorithm>
#include <fstream>
#include <ostream>
#include <set>

namespace guavaline::detail {
namespace {

/// What a request's end means, by the reason in its line.
const std::map<std::string, std::string>& Meanings()
{
  static const std::map<std::string, std::string> kMeanings{
    { "answered", "a target answered" },
    { "target_failed", "the target itself answered with a failure" },
    { "full", "not run: every target that should serve it had a long queue" },
    { "limited", "not run: all targets that should serve it name a rate limit, "
                 "and take no more for a while" },
    { "paused", "not run: all targets that should serve it said that they want "
                "nothing for a while" },
    { "shift_bound", "not run: its region is full, and the bound on shifts "
                     "between regions kept it there" },
    { "too_late", "not run: it could not end before its deadline" },
    { "no_target", "not run: no target may serve it" },
    { "not_ready", "not run: the entry had no view of the store yet" },
    { "stopping", "not run: the entry was stopping" },
    { "crashes_targets", "not run: the request crashed targets before" },
    { "no_route", "no route in the configuration in force matches it" },
    { "target_refused", "not run: the targets themselves refused it" },
    { "wrong_target", "not run: another target has the address by now" },
    { "connection_lost", "the connection to the target broke" },
    { "timeout", "no answer before the deadline" },
    { "refusal_unidentified",
      "a refusal on a kept connection named no request; it may have run" },
    { "answer_unidentified",
      "an answer on a kept connection named no request; it may have run" },
    { "answer_unproven", "an answer did not come from a target's program" },
  };
  return kMeanings;
}

std::string ReadValue(const std::string& aLine, std::size_t& aAt)
{
  std::string out;
  if (aAt < aLine.size() && aLine[aAt] == '"') {
    for (++aAt; aAt < aLine.size() && aLine[aAt] != '"'; ++aAt) {
      if (aLine[aAt] == '\\' && aAt + 1 < aLine.size()) {
        ++aAt;
      }
      out += aLine[aAt];
    }
    ++aAt;
    return out;
  }
  const auto end = std::min(aLine.find(' ', aAt), aLine.size());
  out = aLine.substr(aAt, end - aAt);
  aAt = end;
  return out;
}

std::string Head(const LogLine& aLine)
{
  return aLine.mTime + " " + aLine.mHost + ": ";
}

std::string DescribeExchange(const LogLine& aLine)
{
  const bool ran = aLine.Field("may_have_run") == "yes";
  return Head(aLine) + "exchange with " + aLine.Field("target") +
         " failed: " + aLine.Field("step") + " at " + aLine.Field("peer") +
         ": " + aLine.Field("error") +
         (ran ? "; it may have run there" : "; it has not run there") +
         (aLine.Field("reused") == "yes" ? " (kept connection)" : "");
}

std::string DescribeEnd(const LogLine& aLine)
{
  const auto& reason = aLine.Field("reason");
  const auto meaning = Meanings().find(reason);
  auto out = Head(aLine) + "ended with status " + aLine.Field("status") + ", " +
             (meaning == Meanings().end() ? reason : meaning->second) +
             "; route " + aLine.Field("route") + ", service " +
             aLine.Field("service") + ", configuration " +
             aLine.Field("configuration") + ", sent " + aLine.Field("sends") +
             " times, took " + aLine.Field("took_ms") + " ms, left " +
             aLine.Field("left_ms") + " ms";
  if (!aLine.Field("target").empty()) {
    out += "; last target " + aLine.Field("target") + ": expected wait " +
           aLine.Field("wait_ms") + " ms and run " + aLine.Field("run_ms") +
           " ms, by a view " + aLine.Field("view_age_ms") +
           " ms old at revision " + aLine.Field("view_revision");
  }
  return out;
}

/// A change of belief that bears on the request's targets or its entry.
bool BearsOn(const LogLine& aLine, const std::set<std::string>& aTargets,
             const std::set<std::string>& aHosts)
{
  if (aHosts.count(aLine.mHost) == 0) {
    return false;
  }
  static const std::set<std::string> kOfHost{
    "configuration_accepted", "store_lost", "store_regained",
    "evacuation_changed",     "started",    "stopping",
  };
  return kOfHost.count(aLine.mEvent) > 0 ||
         aTargets.count(aLine.Field("target")) > 0;
}

std::string DescribeBelief(const LogLine& aLine)
{
  auto out = Head(aLine) + aLine.mEvent;
  for (const auto& [name, value] : aLine.mFields) {
    if (!value.empty() && name != "level") {
      out += " " + name + "=" + value;
    }
  }
  return out;
}

/// The last changes of belief up to the request's end, and those after it
/// that show what an entry learned late.
void AddBeliefs(const std::vector<LogLine>& aLines, const LogLine& aEnd,
                const std::set<std::string>& aTargets,
                const std::set<std::string>& aHosts,
                std::vector<std::string>& aOut)
{
  constexpr std::size_t kMaxShown = 12;
  std::vector<std::string> before;
  std::vector<std::string> after;
  for (const auto& it : aLines) {
    if (it.Field("request").empty() && BearsOn(it, aTargets, aHosts)) {
      (it.mTime <= aEnd.mTime ? before : after).push_back(DescribeBelief(it));
    }
  }
  if (before.size() > kMaxShown) {
    before.erase(before.begin(),
                 before.end() - static_cast<std::ptrdiff_t>(kMaxShown));
  }
  after.resize(std::min(after.size(), kMaxShown));
  aOut.emplace_back("believed before:");
  aOut.insert(aOut.end(), before.begin(), before.end());
  aOut.emplace_back("learned afterwards:");
  aOut.insert(aOut.end(), after.begin(), after.end());
}

} // namespace

const std::string& LogLine::Field(const std::string& aName) const
{
  static const std::string kNone;
  const auto it = mFields.find(aName);
  return it == mFields.end() ? kNone : it->second;
}

std::optional<LogLine> ParseLogLine(const std::string& aLine)
{
  LogLine out;
  std::size_t at = 0;
  while (at < aLine.size()) {
    const auto equals = aLine.find('=', at);
    if (equals == std::string::npos) {
      break;
    }
    const auto key = aLine.substr(at, equals - at);
    at = equals + 1;
    auto value = ReadValue(aLine, at);
    if (key == "time") {
      out.mTime = std::move(value);
    } else if (key == "host") {
      out.mHost = std::move(value);
    } else if (key == "event") {
      out.mEvent = std::move(value);
    } else {
      out.mFields[key] = std::move(value);
    }
    ++at;
  }
  if (out.mEvent.empty()) {
    return std::nullopt;
  }
  return out;
}

std::vector<std::string> ExplainRequest(std::vector<LogLine> aLines,
                                        const std::string& aRequest)
{
  std::stable_sort(
    aLines.begin(), aLines.end(),
    [](const LogLine& a, const LogLine& b) { return a.mTime < b.mTime; });
  std::vector<std::string> out;
  std::set<std::string> targets;
  std::set<std::string> hosts;
  const LogLine* end = nullptr;
  for (const auto& it : aLines) {
    if (it.Field("request") != aRequest) {
      continue;
    }
    end = &it;
    hosts.insert(it.mHost);
    if (!it.Field("target").empty()) {
      targets.insert(it.Field("target"));
    }
    out.push_back(it.mEvent == "request_ended" ? DescribeEnd(it)
                                               : DescribeExchange(it));
  }
  if (end != nullptr) {
    AddBeliefs(aLines, *end, targets, hosts, out);
  }
  return out;
}

leaf::result<ExitCode> ExplainCommand(const std::string& aRequest,
                                      const std::vector<std::string>& aPaths,
                                      std::ostream& aOut)
{
  std::vector<LogLine> lines;
  for (const auto& path : aPaths) {
    std::ifstream in(path);
    if (!in) {
      return leaf::new_error(Error{ "read", path, "no file that can be read" });
    }
    std::string text;
    while (std::getline(in, text)) {
      if (auto line = ParseLogLine(text)) {
        lines.push_back(std::move(*line));
      }
    }
  }
  const auto out = ExplainRequest(lines, aRequest);
  for (const auto& it : out) {
    aOut << it << '\n';
  }
  if (out.empty()) {
    return leaf::new_error(
      Error{ "explain", aRequest,
             "no line names it; " + std::to_string(CountLeftOut(lines)) +
               " lines were left out under load, " +
               std::to_string(lines.size()) + " were read" });
  }
  return ExitCode::Done;
}

std::size_t CountLeftOut(const std::vector<LogLine>& aLines)
{
  std::size_t out = 0;
  for (const auto& it : aLines) {
    if (it.mEvent == "lines_left_out") {
      out += std::strtoul(it.Field("over_rate").c_str(), nullptr, 10) +
             std::strtoul(it.Field("unread").c_str(), nullptr, 10);
    }
  }
  return out;
}

} // namespace guavaline::detail
