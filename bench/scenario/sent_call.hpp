#pragma once

#include "scenario/load_setup.hpp"

#include <cstddef>

namespace samphire::scenario
{

/// What a runner remembers of a call that it sent.
struct sent_call
{
    load_setup const* const load_{};
    unsigned const resends_left_{};
    /// Position in the load's list of entries.
    std::size_t const turn_{};

    friend bool operator==(sent_call const&, sent_call const&) = default;
};

} // namespace samphire::scenario
