#pragma once

#include <cstdint>

namespace samphire
{

/// Smallest and largest value that a whole number of a document may have.
struct number_range
{
    std::int64_t min_{};
    std::int64_t max_{};

    friend bool operator==(number_range const&, number_range const&) = default;
};

} // namespace samphire
