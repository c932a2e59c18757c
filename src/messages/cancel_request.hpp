#pragma once

#include "base/exchange_id.hpp"

namespace samphire
{

/// Tells a guard that the sender no longer waits for the reply to the
/// execute_request with this exchange id.
struct cancel_request
{
    exchange_id const exchange_{};

    friend bool
    operator==(cancel_request const&, cancel_request const&) = default;
};

} // namespace samphire
