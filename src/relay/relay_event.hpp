#pragma once

#include "base/service_name.hpp"
#include "store/store_outcome.hpp"

#include <cstdint>
#include <variant>

namespace samphire
{

/// Reports that a call to the platform's store has ended, with its outcome.
struct store_call_completed
{
    std::uint64_t call_number_{};
    store_outcome outcome_{};
};

/// Reports that the process received a stop signal.
struct stop_requested
{
};

/// Reports that the settings were reloaded; `service_` is the setting
/// `service`.
struct settings_changed
{
    service_name service_{};
};

/// Events that other duties send to the traffic duty.
using relay_event =
    std::variant<store_call_completed, stop_requested, settings_changed>;

} // namespace samphire
