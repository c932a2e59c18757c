#pragma once

#include "base/payload.hpp"
#include "http/header_list.hpp"

#include <cstdint>

namespace samphire
{

struct http_response
{
    std::uint16_t const status_{200};
    header_list const headers_{};
    payload const body_{};

    friend bool
    operator==(http_response const&, http_response const&) = default;
};

} // namespace samphire
