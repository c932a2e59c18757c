#pragma once

#include "http/request_token.hpp"

namespace samphire::standin
{

/// The client closed its connection before its request was answered.
struct request_abandoned
{
    request_token const token_{};

    friend bool
    operator==(request_abandoned const&, request_abandoned const&) = default;
};

} // namespace samphire::standin
