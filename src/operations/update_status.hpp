#pragma once

#include <cstdint>

namespace samphire
{

/// How an update of the policy object ended.
enum class update_status : std::uint8_t
{
    applied,
    /// The revision is not higher than that of the stored document.
    not_higher,
    /// Another operator's document is stored; this one was not written, or was
    /// already replaced.
    conflict,
    /// The platform refused the call; nothing was written.
    unavailable,
    /// Responses were lost, so the document may be stored or not.
    unknown,
};

} // namespace samphire
