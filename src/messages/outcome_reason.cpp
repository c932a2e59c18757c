#include "messages/outcome_reason.hpp"

#include <array>

namespace samphire
{

std::string_view reason_text(outcome_reason reason)
{
    constexpr std::array<std::string_view, 17> texts{
        "none",
        "overloaded",
        "deadline",
        "leaving",
        "no-upstream",
        "quarantined",
        "upstream-failed",
        "peer-unreachable",
        "ticket-expired",
        "ticket-closed",
        "in-progress",
        "platform-unavailable",
        "parent-repeatable",
        "cancelled",
        "table-full",
        "starting",
        "upstream-crashed"};
    auto const index = static_cast<std::size_t>(reason);
    return index < texts.size() ? texts[index] : "invalid";
}

} // namespace samphire
