#pragma once

namespace samphire
{

/// All work in flight and the hand-over of records have ended; the process may
/// exit.
struct shutdown_finished
{
    friend bool
    operator==(shutdown_finished const&, shutdown_finished const&) = default;
};

} // namespace samphire
