#pragma once

#include "membership/upstream_announcement.hpp"

namespace samphire
{

/// The local upstream announced itself or renewed its announcement.
struct upstream_announced
{
    upstream_announcement const announcement_{};

    friend bool
    operator==(upstream_announced const&, upstream_announced const&) = default;
};

} // namespace samphire
