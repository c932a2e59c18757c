#pragma once

#include "scenario/load_setup.hpp"

#include <cstddef>

namespace samphire::scenario
{

/// Load, remaining resends and entry of a call that a runner has sent.
struct sent_call
{
    load_setup const* const load_{};
    unsigned const resends_left_{};
    /// Position of the call's entry in the load's rotation of entries.
    std::size_t const entry_position_{};

    friend bool operator==(sent_call const&, sent_call const&) = default;
};

} // namespace samphire::scenario
