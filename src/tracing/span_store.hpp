#pragma once

#include "tracing/span.hpp"

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

namespace samphire
{

/// Keeps the latest spans; a full store drops its oldest span.
class span_store
{
public:
    explicit span_store(std::size_t capacity);

    void add(span const& finished);

    /// Returns one key=value line for each span, oldest first; with a trace id,
    /// only the spans of that trace.
    std::string text(std::string const& trace_id) const;

private:
    std::size_t const capacity_;
    std::mutex mutable mutex_;
    std::deque<span> spans_;
};

} // namespace samphire
