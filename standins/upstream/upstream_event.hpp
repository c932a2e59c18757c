#pragma once

#include "http/http_request.hpp"
#include "http/request_token.hpp"

#include <cstdint>
#include <variant>

namespace samphire::standin
{

/// A request of the daemon.
struct work_arrived
{
    request_token const token_{};
    http_request const request_{};

    friend bool operator==(work_arrived const&, work_arrived const&) = default;
};

/// The daemon cancelled a request.
struct work_abandoned
{
    request_token const token_{};

    friend bool
    operator==(work_abandoned const&, work_abandoned const&) = default;
};

/// A call of the request ended.
struct call_ended
{
    request_token const token_{};
    std::uint16_t const status_{};

    friend bool operator==(call_ended const&, call_ended const&) = default;
};

using upstream_event = std::variant<work_arrived, work_abandoned, call_ended>;

} // namespace samphire::standin
