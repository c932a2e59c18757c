#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace samphire
{

/// Stores the sessions of browsers. Each session has a random token that forms
/// of the session must contain, so that a page of another site cannot submit a
/// form.
class session_table
{
public:
    struct session
    {
        std::string const id_{};
        std::string const token_{};

        friend bool operator==(session const&, session const&) = default;
    };

    /// Starts a session; removes the oldest one when the table is full.
    session start();

    std::optional<session> find(std::string_view id) const;

private:
    static constexpr std::size_t max_sessions = 1024;

    std::deque<session> sessions_;
};

/// Returns whether the two secrets are equal, in a time that does not depend on
/// where they differ.
bool is_same_secret(std::string_view left, std::string_view right);

} // namespace samphire
