#pragma once

namespace samphire
{

/// The process was told to stop.
struct shutdown_requested
{
    friend bool
    operator==(shutdown_requested const&, shutdown_requested const&) = default;
};

} // namespace samphire
