#pragma once

#include "metrics/distribution.hpp"
#include "metrics/latency_histogram.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace samphire
{

/// Counters, gauges, distributions and histograms of one program, written in
/// the Prometheus text format.
class metric_registry
{
public:
    /// Adds to a counter. `name` may carry labels, such as
    /// calls_total{outcome="completed"}; the text puts `samphire_` before it.
    void add(std::string const& name, std::uint64_t count = 1);
    /// Sets a gauge.
    void set(std::string const& name, double value);
    /// Records a duration in a distribution, which is written as quantiles,
    /// maximum and count.
    void record_in_distribution(std::string const& name, double seconds);
    /// Records a duration in a histogram with fixed buckets.
    void record_in_histogram(std::string const& name, double seconds);

    std::string text() const;

private:
    std::mutex mutable mutex_;
    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, double> gauges_;
    std::map<std::string, distribution> distributions_;
    std::map<std::string, latency_histogram> histograms_;
};

} // namespace samphire
