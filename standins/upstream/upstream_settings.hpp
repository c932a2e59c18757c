#pragma once

#include "base/endpoint.hpp"
#include "upstream/service_time_distribution.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace samphire::standin
{

struct upstream_settings
{
    std::string const service_{};
    endpoint const listen_{};
    endpoint const daemon_{};
    std::size_t const slots_{100};
    /// Mean service time of a request, without its child calls.
    absl::Duration const service_time_{absl::Milliseconds(5)};
    service_time_distribution const distribution_{
        service_time_distribution::fixed};
    /// Routes whose requests take `long_factor_` times as long.
    std::vector<std::string> const long_routes_{};
    double const long_factor_{100};
    /// Duration after each start of the upstream in which service times are
    /// `cold_factor_` times as long and the upstream announces that it is cold.
    absl::Duration const cold_time_{};
    double const cold_factor_{5};
    /// Age of the load reported in announcements.
    absl::Duration const load_report_lag_{};
    /// Maximum number of requests in progress or waiting; the upstream sheds
    /// further requests with status 503. Zero for no limit.
    std::size_t const shed_limit_{};
    /// A request whose body contains this text crashes the upstream; empty for
    /// none.
    std::string const crash_marker_{};
    /// Duration for which the upstream is down after a crash.
    absl::Duration const crash_downtime_{absl::Seconds(2)};
    /// Child calls of each request, as "service/route".
    std::vector<std::string> const calls_{};
    std::uint64_t const seed_{1};

    friend bool
    operator==(upstream_settings const&, upstream_settings const&) = default;
};

} // namespace samphire::standin
