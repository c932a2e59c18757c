#include "metrics/metric_registry.hpp"

#include <fmt/format.h>

namespace samphire
{

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

void metric_registry::record(std::string const& name, double seconds)
{
    std::scoped_lock const lock(mutex_);
    distributions_[name].record(seconds);
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
        // A name may already carry labels: one block holds all of them.
        auto const brace = name.find('{');
        std::string const base = name.substr(0, brace);
        std::string const labels =
            brace == std::string::npos
                ? ""
                : name.substr(brace + 1, name.size() - brace - 2);
        std::string const block = labels.empty() ? "" : "{" + labels + "}";
        std::string const prefix = labels.empty() ? "" : labels + ",";
        result += fmt::format(
            "samphire_{0}{{{2}quantile=\"0.5\"}} {3}\n"
            "samphire_{0}{{{2}quantile=\"0.99\"}} {4}\n"
            "samphire_{0}_max{1} {5}\nsamphire_{0}_count{1} {6}\n",
            base,
            block,
            prefix,
            values.median(),
            values.p99(),
            values.maximum(),
            values.count());
    }
    return result;
}

} // namespace samphire
