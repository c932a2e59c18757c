#pragma once

#include <cstdint>

namespace samphire
{

/// What a call to the platform's store does.
enum class store_action : std::uint8_t
{
    read_policy,
    /// Waits until the operators' policy changes after a given revision of the
    /// store.
    watch_policy,
    /// Shows whether the store answers, by an object that need not exist.
    check_access,
    list_upstreams,
    /// Reads one object that describes an upstream.
    read_upstream,
    create_upstream,
    replace_upstream,
    remove_upstream,
};

} // namespace samphire
