#pragma once

#include "base/payload.hpp"

#include <cstdint>
#include <string>

namespace samphire
{

/// An answer that an HTTP frontend writes to a client.
struct frontend_answer
{
    std::uint16_t status_{};
    /// Header lines, each ended by CR LF, without Content-Length.
    std::string headers_{};
    payload body_{};
    /// The frontend closes the connection once the answer is written.
    bool close_connection_{};

    friend bool
    operator==(frontend_answer const&, frontend_answer const&) = default;
};

} // namespace samphire
