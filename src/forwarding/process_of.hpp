#pragma once

#include "forwarding/upstream_heartbeat.hpp"
#include "forwarding/upstream_process.hpp"
#include "forwarding/upstream_record.hpp"

namespace samphire
{

inline upstream_process process_of(upstream_heartbeat const& heartbeat)
{
    return {heartbeat.id_, heartbeat.start_time_ms_};
}

inline upstream_process process_of(upstream_record const& record)
{
    return {record.id_, record.start_time_ms_};
}

} // namespace samphire
