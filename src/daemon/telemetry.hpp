#pragma once

#include "base/bounded_ring.hpp"
#include "daemon/daemon_state.hpp"
#include "daemon/telemetry_item.hpp"
#include "logging/log_level.hpp"

namespace samphire
{

/// Writes log lines to standard error and stores spans in daemon_state, on the
/// duty thread "telemetry".
class telemetry
{
public:
    telemetry(log_level minimum, daemon_state& state);

    /// Runs until stop() is called and all queued items have been processed.
    void run();
    void stop();

    /// Queues an item; drops and counts the item when the ring of items is
    /// full, so that slow log output never delays a decision.
    void report(telemetry_item item);

private:
    log_level const minimum_level_;
    daemon_state& state_;
    bounded_ring<telemetry_item> items_;
};

} // namespace samphire
