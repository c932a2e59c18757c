#pragma once

#include "execution/execution_ticket.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace samphire
{

/// Returns the text of a ticket for the Samphire-Ticket header:
/// guard/incarnation/endpoint/epoch/nonce, with the incarnation, epoch and
/// nonce in hexadecimal.
std::string format_ticket(execution_ticket const& ticket);

/// Parses the text of a ticket. Returns nullopt when a field is missing or
/// malformed.
std::optional<execution_ticket> parse_ticket(std::string_view text);

} // namespace samphire
