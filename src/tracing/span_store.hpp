#pragma once

#include "tracing/span.hpp"

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

namespace samphire
{

/// Keeps the latest spans; the oldest is dropped when it is full.
class span_store
{
public:
    explicit span_store(std::size_t capacity);

    void add(span const& finished);

    /// One key=value line for each span, oldest first. With a trace id, the
    /// spans of that trace only.
    std::string text(std::string const& trace_id) const;

private:
    std::size_t const capacity_;
    std::mutex mutable mutex_;
    std::deque<span> spans_;
};

} // namespace samphire
