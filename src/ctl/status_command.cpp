#include "ctl/status_command.hpp"

#include <fmt/format.h>

namespace samphire
{

command_result report_rollout(rollout const& found)
{
    std::string text;
    for (domain_rollout const& domain : found.domains_)
    {
        for (auto const& [revision_number, daemons] : domain.daemon_counts_)
            text += fmt::format(
                "domain={} revision={} daemons={}\n",
                domain.domain_.value(),
                revision_number.empty()
                    ? "defaults"
                    : fmt::format("{}", revision_number.value()),
                daemons);
    }
    for (endpoint const address : found.unreached_addresses_)
        text += fmt::format("unreachable={}\n", address.text());
    return {
        .code_ = found.unreached_addresses_.empty() ? exit_code::done
                                                    : exit_code::refused,
        .output_ = std::move(text)};
}

} // namespace samphire
