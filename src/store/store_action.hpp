#pragma once

#include <cstdint>

namespace samphire
{

/// What is asked of the platform's store.
enum class store_action : std::uint8_t
{
    read_policy,
    /// Waits for a change after a revision.
    watch_policy,
    list_upstreams,
    create_upstream,
    replace_upstream,
    remove_upstream,
};

} // namespace samphire
