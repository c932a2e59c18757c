#pragma once

#include <cstdint>

namespace samphire
{

/// Position in a trace as W3C traceparent carries it.
struct trace_context
{
    std::uint64_t const trace_high_{};
    std::uint64_t const trace_low_{};
    /// Span id of the caller; zero when the trace starts at this daemon.
    std::uint64_t const span_{};

    friend bool
    operator==(trace_context const&, trace_context const&) = default;
};

} // namespace samphire
