#pragma once

#include "forwarding/upstream_record.hpp"

namespace samphire
{

/// An upstream changed. A daemon that restarts gets the last record of its
/// own upstream back from its peers.
struct upstream_notice
{
    upstream_record upstream_{};

    friend bool
    operator==(upstream_notice const&, upstream_notice const&) = default;
};

} // namespace samphire
