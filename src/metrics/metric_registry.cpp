#include "metrics/metric_registry.hpp"

#include <fmt/format.h>

namespace samphire
{

namespace
{

/// Name of a metric, apart from its labels, so that the registry can add labels
/// of its own such as `quantile`.
struct labelled_name
{
    std::string metric_name_;
    /// Labels in braces; empty without labels.
    std::string label_block_;
    /// Labels with a trailing comma; empty without labels.
    std::string label_prefix_;
};

labelled_name split_labels(std::string const& name)
{
    auto const brace = name.find('{');
    if (brace == std::string::npos)
        return {name, "", ""};
    std::string const labels = name.substr(brace + 1, name.size() - brace - 2);
    return {name.substr(0, brace), "{" + labels + "}", labels + ","};
}

} // namespace

void metric_registry::add(std::string const& name, std::uint64_t count)
{
    std::scoped_lock const lock(mutex_);
    counters_[name] += count;
}

void metric_registry::set(std::string const& name, double value)
{
    std::scoped_lock const lock(mutex_);
    gauges_[name] = value;
}

void metric_registry::record_in_distribution(
    std::string const& name, double seconds)
{
    std::scoped_lock const lock(mutex_);
    distributions_[name].record(seconds);
}

void metric_registry::record_in_histogram(
    std::string const& name, double seconds)
{
    std::scoped_lock const lock(mutex_);
    histograms_[name].record(seconds);
}

std::string metric_registry::text() const
{
    std::scoped_lock const lock(mutex_);
    std::string result;
    for (auto const& [name, value] : counters_)
        result += fmt::format("samphire_{} {}\n", name, value);
    for (auto const& [name, value] : gauges_)
        result += fmt::format("samphire_{} {}\n", name, value);
    for (auto const& [name, values] : distributions_)
    {
        labelled_name const labelled = split_labels(name);
        result += fmt::format(
            "samphire_{0}{{{2}quantile=\"0.5\"}} {3}\n"
            "samphire_{0}{{{2}quantile=\"0.99\"}} {4}\n"
            "samphire_{0}_max{1} {5}\nsamphire_{0}_count{1} {6}\n",
            labelled.metric_name_,
            labelled.label_block_,
            labelled.label_prefix_,
            values.median(),
            values.p99(),
            values.maximum(),
            values.count());
    }
    for (auto const& [name, values] : histograms_)
    {
        labelled_name const labelled = split_labels(name);
        for (std::size_t i = 0; i < latency_histogram::upper_bounds_s.size();
             ++i)
            result += fmt::format(
                "samphire_{}_bucket{{{}le=\"{}\"}} {}\n",
                labelled.metric_name_,
                labelled.label_prefix_,
                latency_histogram::upper_bounds_s[i],
                values.cumulative_count(i));
        result += fmt::format(
            "samphire_{0}_bucket{{{2}le=\"+Inf\"}} {3}\n"
            "samphire_{0}_sum{1} {4}\nsamphire_{0}_count{1} {3}\n",
            labelled.metric_name_,
            labelled.label_block_,
            labelled.label_prefix_,
            values.count(),
            values.sum());
    }
    return result;
}

} // namespace samphire
