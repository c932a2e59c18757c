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
        result += fmt::format(
            "samphire_{0}{{quantile=\"0.5\"}} {1}\n"
            "samphire_{0}{{quantile=\"0.99\"}} {2}\n"
            "samphire_{0}_max {3}\nsamphire_{0}_count {4}\n",
            name,
            values.median(),
            values.p99(),
            values.maximum(),
            values.count());
    }
    return result;
}

} // namespace samphire
