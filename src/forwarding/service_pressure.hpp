#pragma once

#include "base/service_name.hpp"

#include <cstdint>

namespace samphire
{

/// Pressure of an overloaded service: the urgency below which entries refuse
/// requests that call the service.
struct service_pressure
{
    service_name service_{};
    /// Pressure in thousandths of an urgency class: at 1500, entries refuse the
    /// least urgent class and half of the next.
    std::uint32_t pressure_permille_{};

    friend bool
    operator==(service_pressure const&, service_pressure const&) = default;
};

} // namespace samphire
