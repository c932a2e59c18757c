#pragma once

#include "base/service_name.hpp"
#include "store/store_outcome.hpp"

#include <cstdint>
#include <variant>

namespace samphire
{

/// A call to the platform's store has ended.
struct store_call_completed
{
    std::uint64_t operation_number_{};
    store_outcome outcome_{};
};

/// The process received a stop signal.
struct stop_requested
{
};

/// The settings were reloaded.
struct settings_changed
{
    service_name service_{};
};

/// Events that other duties send to the traffic duty.
using relay_event =
    std::variant<store_call_completed, stop_requested, settings_changed>;

} // namespace samphire
