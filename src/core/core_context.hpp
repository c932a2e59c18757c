#pragma once

#include "base/random_source.hpp"
#include "core/action_sink.hpp"
#include "core/core_settings.hpp"
#include "core/daemon_identity.hpp"

#include <utility>

namespace samphire
{

/// Gives the components of daemon_core access to their shared settings, the
/// identity of the daemon, the random source and the action sink.
class core_context
{
public:
    core_context(
        core_settings settings, daemon_identity self, std::uint64_t seed)
        : settings_(std::move(settings)), self_(std::move(self)), random_(seed)
    {
    }

    core_settings const& settings() const
    {
        return settings_;
    }

    daemon_identity const& self() const
    {
        return self_;
    }

    random_source& random()
    {
        return random_;
    }

    action_sink& actions()
    {
        return actions_;
    }

    void emit(action value)
    {
        actions_.emit(std::move(value));
    }

    void
    log(log_level level,
        std::string channel,
        std::string name,
        std::vector<log_field> fields)
    {
        emit(emit_log{
            {level, std::move(channel), std::move(name), std::move(fields)}});
    }

private:
    core_settings const settings_;
    daemon_identity const self_;
    random_source random_;
    action_sink actions_;
};

} // namespace samphire
