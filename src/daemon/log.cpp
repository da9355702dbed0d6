#include "daemon/log.hpp"

#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <guavaline/core/time.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <memory>

namespace guavaline::detail {
namespace {

spdlog::level::level_enum Convert(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return spdlog::level::debug;
    case LogLevel::Info:
      return spdlog::level::info;
    case LogLevel::Warning:
      return spdlog::level::warn;
    case LogLevel::Error:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

/// Quotes a value that holds blanks, quotes or control characters.
std::string Quote(const std::string& aValue)
{
  if (!aValue.empty() &&
      aValue.find_first_of(" \"=\t\r\n\\") == std::string::npos) {
    return aValue;
  }
  std::string out = "\"";
  for (const char it : aValue) {
    if (it == '"' || it == '\\') {
      out += '\\';
    }
    out += static_cast<unsigned char>(it) < ' ' ? '?' : it;
  }
  return out + '"';
}

/// Lines a second that a process may write for requests, and how many may
/// come at once. Failures may use all of them, routine lines half.
constexpr double kLinesPerSecond = 60;
constexpr double kMaxLinesAtOnce = 120;
constexpr double kRoutineFloor = kMaxLinesAtOnce / 2;
/// Memory for lines that wait for their reader.
constexpr std::size_t kMaxGathered = 65'536;

/// Gathers lines and writes them without blocking.
class GatheringSink
  : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  void Drain()
  {
    while (!mGathered.empty() && CanWrite()) {
      // A pipe that is writable takes at least this much without blocking.
      const auto n =
        ::write(STDOUT_FILENO, mGathered.data(),
                std::min<std::size_t>(mGathered.size(), kMaxWrite));
      if (n <= 0) {
        return;
      }
      mGathered.erase(0, static_cast<std::size_t>(n));
    }
  }

  [[nodiscard]] std::uint64_t TakeDropped()
  {
    return std::exchange(mDropped, 0);
  }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    spdlog::memory_buf_t buf;
    formatter_->format(aMessage, buf);
    if (mGathered.size() + buf.size() > kMaxGathered) {
      ++mDropped;
      return;
    }
    mGathered.append(buf.data(), buf.size());
  }

  void flush_() override { Drain(); }

private:
  static constexpr std::size_t kMaxWrite = 4'096; // PIPE_BUF

  static bool CanWrite()
  {
    pollfd out{ STDOUT_FILENO, POLLOUT, 0 };
    return ::poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
  }

  std::string mGathered;
  std::uint64_t mDropped = 0;
};

std::shared_ptr<GatheringSink>& Gathering()
{
  static std::shared_ptr<GatheringSink> sink;
  return sink;
}

/// Tokens for bounded lines.
struct LineBudget
{
  double mTokens = kMaxLinesAtOnce;
  TimePoint mUpdated{};
  std::uint64_t mLeftOut = 0;
};

LineBudget& Lines()
{
  static LineBudget budget;
  return budget;
}

bool TakeLine(LogClass aClass, TimePoint aNow)
{
  auto& budget = Lines();
  const std::chrono::duration<double> passed = aNow - budget.mUpdated;
  budget.mTokens = std::min(kMaxLinesAtOnce,
                            budget.mTokens + passed.count() * kLinesPerSecond);
  budget.mUpdated = aNow;
  const double floor = aClass == LogClass::Routine ? kRoutineFloor : 0;
  if (budget.mTokens < floor + 1) {
    ++budget.mLeftOut;
    return false;
  }
  budget.mTokens -= 1;
  return true;
}

void SetPattern(spdlog::logger& aLogger, const std::string& aHost)
{
  aLogger.set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l host=" + aHost +
                        " %v",
                      spdlog::pattern_time_type::utc);
}

} // namespace

void StartStdoutLog(const std::string& aHost)
{
  Gathering() = std::make_shared<GatheringSink>();
  auto logger = std::make_shared<spdlog::logger>("guavaline", Gathering());
  SetPattern(*logger, aHost);
  logger->flush_on(spdlog::level::off);
  spdlog::set_default_logger(std::move(logger));
}

void FlushLog()
{
  if (!Gathering()) {
    return;
  }
  const auto dropped = Gathering()->TakeDropped();
  const auto leftOut = std::exchange(Lines().mLeftOut, 0);
  if (dropped + leftOut > 0) {
    Log(LogLevel::Warning, "lines_left_out",
        { { "over_rate", std::to_string(leftOut) },
          { "unread", std::to_string(dropped) } });
  }
  Gathering()->Drain();
}

void LogBounded(LogClass aClass, LogLevel aLevel, std::string_view aEvent,
                std::initializer_list<LogField> aFields)
{
  if (TakeLine(aClass, Clock::now())) {
    Log(aLevel, aEvent, aFields);
  }
}

void StartLog(const std::string& aHost)
{
  auto logger = spdlog::stderr_logger_st("guavaline");
  SetPattern(*logger, aHost);
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

bool SetLogLevel(const std::string& aLevel)
{
  const auto level = spdlog::level::from_str(aLevel);
  if (level == spdlog::level::off && aLevel != "off") {
    return false;
  }
  spdlog::set_level(level);
  return true;
}

void Log(LogLevel aLevel, std::string_view aEvent,
         std::initializer_list<LogField> aFields)
{
  const auto level = Convert(aLevel);
  if (!spdlog::should_log(level)) {
    return;
  }
  std::string line = "event=";
  line += aEvent;
  for (const auto& it : aFields) {
    line += ' ';
    line += it.mKey;
    line += '=';
    line += Quote(it.mValue);
  }
  spdlog::log(level, "{}", line);
}

} // namespace guavaline::detail
