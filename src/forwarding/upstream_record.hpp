#pragma once

#include "base/endpoint.hpp"
#include "base/service_name.hpp"
#include "forwarding/upstream_id.hpp"
#include "forwarding/upstream_phase.hpp"

#include <cstdint>
#include <string>

namespace samphire
{

/// What daemons tell each other and the store about one upstream and the daemon
/// that guards it.
struct upstream_record
{
    /// Address at which the daemon receives messages of other daemons.
    endpoint daemon_{};
    upstream_id id_{};
    /// Unix time in milliseconds at which the upstream started; 0 when only the
    /// id of an upstream that is leaving is known.
    std::int64_t start_time_ms_{};
    service_name service_{};
    std::string zone_{};
    std::uint32_t slots_{};
    upstream_phase phase_{upstream_phase::unknown};

    friend bool
    operator==(upstream_record const&, upstream_record const&) = default;
};

/// Whether both records describe the same process of an upstream.
inline bool
is_same_process(upstream_record const& left, upstream_record const& right)
{
    return left.id_ == right.id_ && left.start_time_ms_ == right.start_time_ms_;
}

/// Whether the record holds the departure of an upstream of which only the id
/// is known.
inline bool names_only_id(upstream_record const& record)
{
    return !record.id_.empty() && record.start_time_ms_ == 0 &&
           record.phase_ == upstream_phase::leaving;
}

} // namespace samphire
