#pragma once

#include "http/request_token.hpp"

#include <cstdint>

namespace samphire::standin
{

/// A call that a request made has ended; status 0 without an answer.
struct call_ended
{
    request_token const token_{};
    std::uint16_t const status_{};

    friend bool operator==(call_ended const&, call_ended const&) = default;
};

} // namespace samphire::standin
