#pragma once

#include "forwarding/upstream_lifecycle.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <string>

namespace samphire
{

/// A daemon and the upstream beside it.
class lifecycle_fixture : public Utest
{
public:
    endpoint const daemon{1, 7000};
    endpoint const address{1, 8000};
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};

    upstream_heartbeat heartbeat(
        std::string const& id,
        std::int64_t start_time_ms,
        std::int64_t sequence,
        bool draining = false) const
    {
        return {
            .id_ = upstream_id(id),
            .start_time_ms_ = start_time_ms,
            .sequence_ = sequence,
            .service_ = service_name("slots"),
            .address_ = address,
            .slots_ = 4,
            .draining_ = draining};
    }
};

} // namespace samphire
