#include "tracing/span_store.hpp"

#include "tracing/traceparent.hpp"

#include <fmt/format.h>

namespace samphire
{

span_store::span_store(std::size_t capacity) : capacity_(capacity)
{
}

void span_store::add(span const& finished)
{
    std::scoped_lock const lock(mutex_);
    if (spans_.size() >= capacity_)
        spans_.pop_front();
    spans_.push_back(finished);
}

std::string span_store::text(std::string const& trace_id) const
{
    std::scoped_lock const lock(mutex_);
    std::string result;
    for (span const& entry : spans_)
    {
        std::string const trace = format_trace_id(entry.parent_);
        if (!trace_id.empty() && trace != trace_id)
            continue;
        result += fmt::format(
            "trace={} parent={:016x} span={:016x} name=\"{}\" start_us={} "
            "duration_us={} outcome={}\n",
            trace,
            entry.parent_.span_,
            entry.id_,
            entry.name_,
            absl::ToUnixMicros(entry.start_),
            absl::ToInt64Microseconds(entry.end_ - entry.start_),
            entry.outcome_);
    }
    return result;
}

} // namespace samphire
