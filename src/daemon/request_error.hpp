#pragma once

#include <string>

namespace samphire
{

/// Why an HTTP request was refused: the invalid field and the rule it breaks.
struct request_error
{
    std::string const field_{};
    std::string const rule_{};

    friend bool
    operator==(request_error const&, request_error const&) = default;
};

} // namespace samphire
