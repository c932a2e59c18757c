#pragma once

#include "base/route_name.hpp"
#include "forwarding/request_kind.hpp"
#include "forwarding/service_share.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace samphire
{

/// Rule of the operators' policy for the requests of one host and path prefix.
struct route_rule
{
    route_name name_{};
    std::string host_{};
    /// Path prefix of the requests, which begins and ends with a slash.
    std::string path_prefix_{};
    /// Services that execute the requests: one, or several for a weighted
    /// split.
    std::vector<service_share> shares_{};
    request_kind kind_{request_kind::non_idempotent};
    /// Maximum number of upstreams that one request may reach.
    std::uint32_t max_upstreams_{1};
    /// Maximum time from the arrival of a request until its caller gets an
    /// answer.
    absl::Duration timeout_{absl::InfiniteDuration()};
    /// Latency objective for requests of the route.
    absl::Duration objective_{absl::InfiniteDuration()};
    /// Priority of the requests; 0 is the most urgent.
    std::int32_t priority_{};

    friend bool operator==(route_rule const&, route_rule const&) = default;
};

} // namespace samphire
