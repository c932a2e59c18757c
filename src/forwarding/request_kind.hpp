#pragma once

#include <cstdint>

namespace samphire
{

/// Whether a request that may have run already may be run again.
enum class request_kind : std::uint8_t
{
    idempotent,
    /// A request that must run at most once.
    non_idempotent,
    /// A request with a large body, which must run at most once.
    upload,
};

constexpr bool is_repeatable(request_kind kind)
{
    return kind == request_kind::idempotent;
}

} // namespace samphire
