#pragma once

#include "logging/log_event.hpp"

namespace samphire
{

struct emit_log
{
    log_event const event_{};

    friend bool operator==(emit_log const&, emit_log const&) = default;
};

} // namespace samphire
