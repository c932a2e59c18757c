#pragma once

namespace samphire
{

/// All work in flight has ended and records are handed over; the process may
/// exit.
struct shutdown_finished
{
    friend bool
    operator==(shutdown_finished const&, shutdown_finished const&) = default;
};

} // namespace samphire
