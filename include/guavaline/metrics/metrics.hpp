#pragma once

/// Latency histograms for each service and class, and counters.

#include <guavaline/core/time.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace guavaline {

class LatencyHistogram;

/// Metrics of one process.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  Metrics(Metrics&&) = delete;
  Metrics& operator=(Metrics&&) = delete;

  /// Adds one answered request.
  void NoteLatency(const std::string& aService, const std::string& aClass,
                   std::chrono::microseconds aLatency);
  /// Raises a counter.
  /// @param aName    metric name without prefix, such as "refusals"
  /// @param aLabels  Prometheus labels, such as "reason=\"full\""
  void Count(const std::string& aName, const std::string& aLabels);
  /// Drops the latencies of a class that is no longer served, and counters
  /// whose labels begin with aLabels.
  void Forget(const std::string& aClass, const std::string& aLabels);
  /// @returns all metrics in the Prometheus text format
  [[nodiscard]] std::string Text() const;
  /// @returns a quantile in microseconds; 0 where nothing was noted
  [[nodiscard]] double Quantile(const std::string& aService,
                                const std::string& aClass, double aPart) const;

private:
  std::map<std::pair<std::string, std::string>,
           std::unique_ptr<LatencyHistogram>>
    mLatencies;
  std::map<std::pair<std::string, std::string>, std::uint64_t> mCounters;
};

} // namespace guavaline
