#pragma once

#include "http/request_token.hpp"

#include <cstdint>

namespace samphire::standin
{

/// A child call of a request has ended; status 0 means that it got no answer.
struct call_ended
{
    request_token const token_{};
    std::uint16_t const status_{};

    friend bool operator==(call_ended const&, call_ended const&) = default;
};

} // namespace samphire::standin
