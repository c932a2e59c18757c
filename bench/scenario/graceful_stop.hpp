#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace samphire::scenario
{

/// Node index and time of a graceful shutdown that a scenario requested.
struct graceful_stop
{
    std::size_t const node_{};
    absl::Time const time_{};

    friend bool
    operator==(graceful_stop const&, graceful_stop const&) = default;
};

} // namespace samphire::scenario
