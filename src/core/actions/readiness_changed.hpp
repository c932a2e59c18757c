#pragma once

#include <string>

namespace samphire
{

/// Sets what the readiness endpoint of the daemon reports.
struct readiness_changed
{
    bool const ready_{};
    std::string const reason_{};

    friend bool
    operator==(readiness_changed const&, readiness_changed const&) = default;
};

} // namespace samphire
