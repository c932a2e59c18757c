#include "tracing/traceparent.hpp"

#include <fmt/format.h>

#include <charconv>

namespace samphire
{

namespace
{

std::optional<std::uint64_t> parse_hex(std::string_view digits)
{
    // W3C Trace Context allows lower-case digits only.
    if (digits.find_first_not_of("0123456789abcdef") != std::string_view::npos)
        return std::nullopt;
    std::uint64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return value;
}

} // namespace

std::optional<trace_context> parse_traceparent(std::string_view text)
{
    // Layout: "00-", 32 digits, "-", 16 digits, "-", 2 digits.
    constexpr std::size_t length = 55;
    bool const separated = text.size() == length &&
                           text.substr(0, 3) == "00-" && text[35] == '-' &&
                           text[52] == '-';
    if (!separated)
        return std::nullopt;
    auto const high = parse_hex(text.substr(3, 16));
    auto const low = parse_hex(text.substr(19, 16));
    auto const span = parse_hex(text.substr(36, 16));
    auto const flags = parse_hex(text.substr(53, 2));
    if (!high || !low || !span || !flags)
        return std::nullopt;
    if ((*high == 0 && *low == 0) || *span == 0)
        return std::nullopt;
    return trace_context{*high, *low, *span};
}

std::string format_traceparent(trace_context const& context)
{
    return fmt::format(
        "00-{:016x}{:016x}-{:016x}-01",
        context.trace_high_,
        context.trace_low_,
        context.span_);
}

std::string format_trace_id(trace_context const& context)
{
    return fmt::format(
        "{:016x}{:016x}", context.trace_high_, context.trace_low_);
}

} // namespace samphire
