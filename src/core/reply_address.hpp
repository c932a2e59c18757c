#pragma once

#include "base/endpoint.hpp"
#include "base/exchange_id.hpp"

namespace samphire
{

/// Peer and exchange id to which a guard sends the reply to an execute_request.
struct reply_address
{
    endpoint const peer_{};
    exchange_id const exchange_{};

    friend bool
    operator==(reply_address const&, reply_address const&) = default;
    friend auto
    operator<=>(reply_address const&, reply_address const&) = default;

    template <class Hash>
    friend Hash AbslHashValue(Hash state, reply_address const& address)
    {
        return Hash::combine(
            std::move(state), address.peer_, address.exchange_);
    }
};

} // namespace samphire
