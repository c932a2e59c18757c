#pragma once

#include <cstdint>

namespace samphire::standin
{

enum class outage_kind : std::uint8_t
{
    none,
    /// Every call is answered 503 and has no effect.
    refuse,
    /// Calls have no effect and get no answer until the client gives up.
    silent,
};

} // namespace samphire::standin
