#pragma once

#include "base/service_name.hpp"
#include "store/store_outcome.hpp"

#include <cstdint>
#include <variant>

namespace samphire
{

/// Outcome of a call of the store.
struct store_replied
{
    std::uint64_t number_{};
    store_outcome outcome_{};
};

/// The process is asked to end.
struct stop_requested
{
};

/// The settings were read again.
struct settings_changed
{
    service_name service_{};
};

/// What other duties tell the traffic duty.
using relay_event =
    std::variant<store_replied, stop_requested, settings_changed>;

} // namespace samphire
