#pragma once

#include <cstdint>
#include <string>

namespace samphire
{

/// Reason for which an object in the store was skipped.
struct object_defect
{
    /// Name of the object; empty when the name itself is unreadable.
    std::string name_{};
    /// Revision of the object; 0 when the revision itself is unreadable.
    std::uint64_t revision_{};
    /// The field and the rule that the field breaks.
    std::string text_{};

    friend bool
    operator==(object_defect const&, object_defect const&) = default;
};

} // namespace samphire
