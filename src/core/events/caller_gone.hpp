#pragma once

#include "base/call_id.hpp"

namespace samphire
{

/// The caller closed its connection before it had an answer.
struct caller_gone
{
    call_id const call_{};

    friend bool operator==(caller_gone const&, caller_gone const&) = default;
};

} // namespace samphire
