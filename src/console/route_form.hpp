#pragma once

#include <string>

namespace samphire
{

/// Form fields of one route, as the operator typed them.
struct route_form
{
    std::string const service_{};
    std::string const route_{};
    std::string const importance_{};
    /// "true" or "false".
    std::string const unrepeatable_{};
    std::string const work_{};
    std::string const timeout_ms_{};
    /// Routes "service/route", separated by white space.
    std::string const calls_{};
    bool const remove_{};

    friend bool operator==(route_form const&, route_form const&) = default;
};

} // namespace samphire
