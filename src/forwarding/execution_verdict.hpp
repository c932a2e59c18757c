#pragma once

#include <cstdint>

namespace samphire
{

/// How the execution of a request ended, as its guard reports it.
enum class execution_verdict : std::uint8_t
{
    /// The upstream gave a complete answer.
    answered,
    /// The request has not run and will not run.
    not_run,
    /// The request may have run, but the guard has no complete answer to it.
    unknown,
    /// The request was aborted at its deadline or when it was cancelled, and
    /// may have run.
    timed_out,
};

} // namespace samphire
