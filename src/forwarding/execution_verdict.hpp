#pragma once

#include <cstdint>

namespace samphire
{

/// How an execution at a guard ended.
enum class execution_verdict : std::uint8_t
{
    /// The upstream gave a whole answer.
    answered,
    /// It has not run and will not run.
    not_run,
    /// It may have run; there is no whole answer.
    unknown,
    /// It was given up at its deadline and may have run.
    timed_out,
};

} // namespace samphire
