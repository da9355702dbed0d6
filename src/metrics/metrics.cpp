#include <guavaline/metrics/metrics.hpp>

#include <boost/histogram.hpp>

#include <sstream>

namespace guavaline {

namespace bh = boost::histogram;

namespace {

constexpr unsigned kBins = 240;
constexpr double kMinMicros = 10;
constexpr double kMaxMicros = 100'000'000;
constexpr double kMicrosPerSecond = 1'000'000;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

} // namespace

/// Latencies in microseconds on a logarithmic axis.
class LatencyHistogram
{
public:
  LatencyHistogram()
    : mHistogram(bh::make_histogram(LogAxis(kBins, kMinMicros, kMaxMicros)))
  {
  }

  void Note(double aMicros)
  {
    mHistogram(aMicros);
    mSum += aMicros;
    ++mCount;
  }

  [[nodiscard]] double Quantile(double aPart) const
  {
    const auto goal = aPart * static_cast<double>(mCount);
    double seen = 0;
    for (auto&& it : bh::indexed(mHistogram, bh::coverage::all)) {
      seen += static_cast<double>(*it);
      if (seen >= goal && seen > 0) {
        return it.bin().upper();
      }
    }
    return 0;
  }

  [[nodiscard]] double Sum() const { return mSum; }
  [[nodiscard]] std::uint64_t Size() const { return mCount; }

private:
  decltype(bh::make_histogram(
    LogAxis(kBins, kMinMicros, kMaxMicros))) mHistogram;
  double mSum = 0;
  std::uint64_t mCount = 0;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::NoteLatency(const std::string& aService,
                          const std::string& aClass,
                          std::chrono::microseconds aLatency)
{
  auto& it = mLatencies[{ aService, aClass }];
  if (!it) {
    it = std::make_unique<LatencyHistogram>();
  }
  it->Note(static_cast<double>(aLatency.count()));
}

void Metrics::Count(const std::string& aName, const std::string& aLabels)
{
  ++mCounters[{ aName, aLabels }];
}

void Metrics::Forget(const std::string& aClass, const std::string& aLabels)
{
  std::erase_if(mLatencies,
                [&](const auto& a) { return a.first.second == aClass; });
  std::erase_if(mCounters, [&](const auto& a) {
    return a.first.second.starts_with(aLabels);
  });
}

double Metrics::Quantile(const std::string& aService, const std::string& aClass,
                         double aPart) const
{
  const auto it = mLatencies.find({ aService, aClass });
  return it == mLatencies.end() ? 0 : it->second->Quantile(aPart);
}

std::string Metrics::Text() const
{
  std::ostringstream out;
  out << "# TYPE guavaline_request_seconds summary\n";
  for (const auto& [key, histogram] : mLatencies) {
    const auto labels =
      "service=\"" + key.first + "\",class=\"" + key.second + "\"";
    for (const char* part : { "0.5", "0.9", "0.99", "1" }) {
      out << "guavaline_request_seconds{" << labels << ",quantile=\"" << part
          << "\"} " << histogram->Quantile(std::stod(part)) / kMicrosPerSecond
          << '\n';
    }
    out << "guavaline_request_seconds_sum{" << labels << "} "
        << histogram->Sum() / kMicrosPerSecond << '\n';
    out << "guavaline_request_seconds_count{" << labels << "} "
        << histogram->Size() << '\n';
  }
  std::string last;
  for (const auto& [key, n] : mCounters) {
    if (key.first != last) {
      out << "# TYPE guavaline_" << key.first << "_total counter\n";
      last = key.first;
    }
    out << "guavaline_" << key.first << "_total{" << key.second << "} " << n
        << '\n';
  }
  return out.str();
}

} // namespace guavaline
