#pragma once

#include "forwarding/upstream_record.hpp"

namespace samphire
{

/// Announces the changed record of an upstream to other daemons. Also used by
/// peers to send a restarted daemon the last record of its own upstream.
struct upstream_notice
{
    upstream_record upstream_{};

    friend bool
    operator==(upstream_notice const&, upstream_notice const&) = default;
};

} // namespace samphire
