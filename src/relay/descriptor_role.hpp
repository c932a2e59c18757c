#pragma once

#include <cstdint>

namespace samphire
{

/// What an error in the handler of a descriptor ends.
enum class descriptor_role : std::uint8_t
{
    /// One connection: it is shut down, and its owner closes it.
    connection,
    /// A listener or a wake-up descriptor, which the whole daemon needs: it
    /// stays in use.
    service,
};

} // namespace samphire
