#pragma once

#include "policy/importance.hpp"
#include "policy/work_class.hpp"

#include <absl/time/time.h>

#include <string>

namespace samphire::bench
{

/// Properties of the requests that a load sends to one route.
struct load_route
{
    std::string const service_{};
    std::string const route_{};
    /// Ratio of this route's requests among all requests of the load.
    double const ratio_{1};
    importance const importance_{importance::normal};
    bool const unrepeatable_{};
    work_class const work_class_{work_class::short_work};
    absl::Duration const timeout_{absl::Seconds(1)};

    friend bool operator==(load_route const&, load_route const&) = default;
};

} // namespace samphire::bench
