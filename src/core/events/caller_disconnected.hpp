#pragma once

#include "base/call_id.hpp"

namespace samphire
{

/// The caller closed its connection before the caller had an answer.
struct caller_disconnected
{
    call_id const call_{};

    friend bool operator==(
        caller_disconnected const&, caller_disconnected const&) = default;
};

} // namespace samphire
