#pragma once

namespace samphire
{

/// Tells the process that it may exit, because all work in flight and the
/// hand-over of execution records have ended.
struct shutdown_finished
{
    friend bool
    operator==(shutdown_finished const&, shutdown_finished const&) = default;
};

} // namespace samphire
