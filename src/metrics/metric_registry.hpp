#pragma once

#include "metrics/distribution.hpp"
#include "metrics/latency_histogram.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace samphire
{

/// Counters and distributions of one program, written in the text format that
/// common scrapers read.
class metric_registry
{
public:
    /// `name` may carry labels, such as calls_total{outcome="completed"}; the
    /// text puts `samphire_` before it.
    void add(std::string const& name, std::uint64_t count = 1);
    void set(std::string const& name, double value);
    /// Records a duration in seconds.
    void record(std::string const& name, double seconds);
    /// Counts a duration in seconds in a histogram of fixed buckets.
    void observe(std::string const& name, double seconds);

    std::string text() const;

private:
    std::mutex mutable mutex_;
    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, double> gauges_;
    std::map<std::string, distribution> distributions_;
    std::map<std::string, latency_histogram> histograms_;
};

} // namespace samphire
