#pragma once

namespace samphire
{

/// The time of next_deadline() has come.
struct timer_elapsed
{
    friend bool
    operator==(timer_elapsed const&, timer_elapsed const&) = default;
};

} // namespace samphire
