#pragma once

#include <string>

namespace samphire
{

/// The invalid field of a refused HTTP request, and the rule that the field
/// breaks.
struct request_error
{
    std::string const field_{};
    std::string const rule_{};

    friend bool
    operator==(request_error const&, request_error const&) = default;
};

} // namespace samphire
