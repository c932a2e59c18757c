#pragma once

namespace samphire
{

/// Exit codes of samphirectl.
enum class exit_code : int
{
    done = 0,
    /// Refused, or not possible at present; nothing was changed.
    refused = 1,
    usage = 2,
    /// Another operator changed the document meanwhile.
    conflict = 3,
    /// Whether the change took effect is not known.
    unknown = 4,
};

} // namespace samphire
