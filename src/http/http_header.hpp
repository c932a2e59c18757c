#pragma once

#include <string>

namespace samphire
{

struct http_header
{
    std::string const name_{};
    std::string const value_{};

    friend bool operator==(http_header const&, http_header const&) = default;
};

} // namespace samphire
