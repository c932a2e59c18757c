#pragma once

#include "base/payload.hpp"

#include <cstdint>
#include <string>

namespace samphire
{

/// An answer as it is written to a client.
struct front_answer
{
    std::uint16_t status_{};
    /// Header lines, each ended by CR LF, without the length.
    std::string headers_{};
    payload body_{};
    bool close_{};

    friend bool operator==(front_answer const&, front_answer const&) = default;
};

} // namespace samphire
