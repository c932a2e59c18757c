#pragma once

#include "store/object_defect.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace samphire
{

/// Remembers which defective objects were reported, so that an object that
/// stays in the store is reported once and not with each read.
class defect_register
{
public:
    /// Notes the defect; returns false when this revision of the object was
    /// noted before.
    bool is_new(object_defect const& defect);

private:
    /// Maximum number of objects that are remembered; the one noted first is
    /// forgotten when another is noted.
    static constexpr std::size_t max_objects = 256;

    absl::flat_hash_map<std::string, std::uint64_t> revisions_by_name_;
    std::deque<std::string> names_by_age_;
};

} // namespace samphire
