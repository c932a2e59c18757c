#pragma once

#include <string>

namespace samphire
{

/// Holds the fields of one route in the policy form as the operator typed them.
struct route_form
{
    std::string const service_{};
    std::string const route_{};
    std::string const importance_{};
    /// The submitted text: "true", "false" or invalid.
    std::string const unrepeatable_{};
    std::string const work_{};
    std::string const timeout_ms_{};
    /// Routes that this route calls, as "service/route" separated by white
    /// space.
    std::string const calls_{};
    bool const remove_{};

    friend bool operator==(route_form const&, route_form const&) = default;
};

} // namespace samphire
