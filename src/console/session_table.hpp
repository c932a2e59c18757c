#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace samphire
{

/// Sessions of browsers. Each has a random token that its forms carry, so that
/// a page of another site cannot submit one.
class session_table
{
public:
    struct session
    {
        std::string const id_{};
        std::string const token_{};

        friend bool operator==(session const&, session const&) = default;
    };

    /// Starts a session; drops the oldest one when there are too many.
    session start();

    std::optional<session> find(std::string_view id) const;

private:
    static constexpr std::size_t session_limit = 1024;

    std::deque<session> sessions_;
};

/// Whether the texts are equal, in a time that does not depend on where they
/// differ.
bool is_same_secret(std::string_view left, std::string_view right);

} // namespace samphire
