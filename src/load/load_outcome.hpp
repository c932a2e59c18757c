#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace samphire
{

/// How a call ended for its caller.
enum class load_outcome : std::uint8_t
{
    /// The whole answer to the caller's own request.
    whole,
    not_run,
    unknown,
    /// Completed with another status than 200.
    error_status,
    /// Answered as completed with bytes that are not the answer.
    wrong_body,
    /// No connection was made.
    refused,
    /// No answer within the time or before the connection ended.
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
constexpr std::size_t load_outcomes = load_outcome_names.size();

} // namespace samphire
