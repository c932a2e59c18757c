#pragma once

#include "base/revision.hpp"

namespace samphire
{

/// Asks a peer for the policy document if its revision is higher than `held_`.
struct section_request
{
    revision const held_{};

    friend bool
    operator==(section_request const&, section_request const&) = default;
};

} // namespace samphire
