#pragma once

#include "base/route_name.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <optional>

namespace samphire
{

/// How long the requests of each route take, calls included. The services of a
/// route run short and long requests, so the mean run time of an upstream says
/// little about one of them.
class route_durations
{
public:
    void observe(route_name const& route, absl::Duration duration);

    /// Returns a duration that few requests of the route exceed; nothing while
    /// none was observed.
    std::optional<absl::Duration>
    typical_maximum(route_name const& route) const;

private:
    /// Weights of the newest duration in the mean and in the mean deviation,
    /// and the number of deviations above the mean, as TCP estimates its
    /// retransmission timeout (RFC 6298).
    static constexpr double newest_weight = 1.0 / 8;
    static constexpr double newest_deviation_weight = 1.0 / 4;
    static constexpr double deviations = 4;
    /// Routes beyond this number are not observed.
    static constexpr std::size_t max_routes = 4096;

    struct estimate
    {
        absl::Duration mean_{};
        absl::Duration deviation_{};
    };

    absl::flat_hash_map<route_name, estimate> estimates_by_route_;
};

} // namespace samphire
