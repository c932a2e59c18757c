#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace samphire
{

/// How a call ended for its caller.
enum class load_outcome : std::uint8_t
{
    /// The answer has status 200 and the expected body.
    whole,
    /// The daemon reported that the request was not run.
    not_run,
    /// The daemon reported that the request may have run.
    unknown,
    /// The answer has a status other than 200, or no known Samphire-Outcome
    /// header.
    error_status,
    /// The answer has status 200, but a body that is not the expected one.
    wrong_body,
    /// Nothing was sent: no connection was made, or the HTTP client had its
    /// maximum number of requests in progress.
    refused,
    /// No complete answer arrived before the timeout or the end of the
    /// connection.
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
