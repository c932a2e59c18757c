#pragma once

#include "tracing/trace_context.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace samphire
{

/// Reads a W3C traceparent header of version 00; nothing when it is malformed
/// or an identifier is zero.
std::optional<trace_context> parse_traceparent(std::string_view text);

/// Writes a W3C traceparent header of version 00 with the sampled flag set.
std::string format_traceparent(trace_context const& context);

/// Writes the trace id as 32 hexadecimal digits.
std::string format_trace_id(trace_context const& context);

} // namespace samphire
