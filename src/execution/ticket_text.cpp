#include "execution/ticket_text.hpp"

#include "base/text.hpp"

#include <fmt/format.h>

#include <vector>

namespace samphire
{

namespace
{

std::optional<std::uint64_t> parse_hex(std::string_view digits)
{
    return parse_hex_number<std::uint64_t>(digits);
}

} // namespace

std::string format_ticket(execution_ticket const& ticket)
{
    return fmt::format(
        "{}/{:x}/{}/{:x}/{:016x}{:016x}",
        ticket.guard_.value(),
        ticket.incarnation_.value(),
        ticket.endpoint_.text(),
        ticket.epoch_.value(),
        ticket.nonce_.high_,
        ticket.nonce_.low_);
}

std::optional<execution_ticket> parse_ticket(std::string_view text)
{
    constexpr std::size_t nonce_digits = 32;
    std::vector<std::string_view> const fields = split(text, '/');
    if (fields.size() != 5 || fields[0].empty() ||
        fields[4].size() != nonce_digits)
        return std::nullopt;
    auto const incarnation_number = parse_hex(fields[1]);
    auto const guard_endpoint = endpoint::parse(fields[2]);
    auto const epoch = parse_hex(fields[3]);
    auto const high = parse_hex(fields[4].substr(0, 16));
    auto const low = parse_hex(fields[4].substr(16));
    if (!incarnation_number || !guard_endpoint || !epoch || !high || !low)
        return std::nullopt;
    return execution_ticket{
        .guard_ = daemon_id(std::string(fields[0])),
        .incarnation_ = incarnation(*incarnation_number),
        .endpoint_ = *guard_endpoint,
        .epoch_ = ticket_epoch(*epoch),
        .nonce_ = {*high, *low}};
}

} // namespace samphire
