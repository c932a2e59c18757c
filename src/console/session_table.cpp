#include "console/session_table.hpp"

#include <sodium.h>

#include <array>

namespace samphire
{

namespace
{

constexpr std::size_t secret_bytes = 16;

std::string random_secret()
{
    std::array<unsigned char, secret_bytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::string text(2 * secret_bytes + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

} // namespace

session_table::session session_table::start()
{
    if (sessions_.size() >= max_sessions)
        sessions_.pop_front();
    sessions_.push_back({random_secret(), random_secret()});
    return sessions_.back();
}

std::optional<session_table::session>
session_table::find(std::string_view id) const
{
    for (session const& candidate : sessions_)
    {
        if (is_same_secret(candidate.id_, id))
            return candidate;
    }
    return std::nullopt;
}

bool is_same_secret(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace samphire
