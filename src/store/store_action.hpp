#pragma once

#include <cstdint>

namespace samphire
{

/// Kind of a call to the platform's store.
enum class store_action : std::uint8_t
{
    read_policy,
    /// Waits for a policy change after a revision.
    watch_policy,
    list_upstreams,
    create_upstream,
    replace_upstream,
    remove_upstream,
};

} // namespace samphire
