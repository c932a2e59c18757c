#pragma once

#include "forwarding/upstream_record.hpp"

#include <cstdint>
#include <string>

namespace samphire
{

/// Object in the store that describes one upstream, with its name and revision.
struct stored_upstream
{
    std::string name_{};
    std::uint64_t revision_{};
    upstream_record record_{};

    friend bool
    operator==(stored_upstream const&, stored_upstream const&) = default;
};

} // namespace samphire
