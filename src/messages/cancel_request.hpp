#pragma once

#include "base/exchange_id.hpp"

namespace samphire
{

/// States that the sender no longer waits for the reply of this exchange.
struct cancel_request
{
    exchange_id const exchange_{};

    friend bool
    operator==(cancel_request const&, cancel_request const&) = default;
};

} // namespace samphire
