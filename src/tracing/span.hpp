#pragma once

#include "tracing/trace_context.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace samphire
{

/// One finished hop of a request.
struct span
{
    /// Trace id of the request and span id of the caller.
    trace_context const parent_{};
    std::uint64_t const id_{};
    /// Role of this daemon in the hop, service and route.
    std::string const name_{};
    absl::Time const start_{};
    absl::Time const end_{};
    std::string const outcome_{};

    friend bool operator==(span const&, span const&) = default;
};

} // namespace samphire
