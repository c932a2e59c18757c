#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace samphire
{

/// How a call ended for its caller.
enum class load_outcome : std::uint8_t
{
    /// Completed with status 200 and the expected body.
    whole,
    /// The daemon reported that the request was not run.
    not_run,
    /// The daemon reported that the request may have run.
    unknown,
    /// Answered with a status other than 200, or without a known
    /// Samphire-Outcome header.
    error_status,
    /// Completed with status 200, but with a body that is not the expected one.
    wrong_body,
    /// Nothing was sent: no connection was made, or the client was full.
    refused,
    /// No complete answer before the timeout or the end of the connection.
    no_answer,
};

constexpr std::array<char const*, 7> load_outcome_names{
    "whole",
    "not_run",
    "unknown",
    "error_status",
    "wrong_body",
    "refused",
    "no_answer"};
constexpr std::size_t load_outcome_count = load_outcome_names.size();

} // namespace samphire
