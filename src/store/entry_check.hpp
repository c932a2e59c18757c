#pragma once

#include "store/object_defect.hpp"
#include "store/stored_upstream.hpp"

#include <absl/time/time.h>

#include <vector>

namespace samphire
{

/// Sorts the entries of a list of upstreams into those that their own daemon
/// can have written and those that must be the work of another writer.
class entry_check
{
public:
    entry_check(std::vector<stored_upstream> const& entries, absl::Time now);

    std::vector<stored_upstream> const& usable() const
    {
        return usable_;
    }

    std::vector<object_defect> const& rejected() const
    {
        return rejected_;
    }

private:
    std::vector<stored_upstream> usable_;
    std::vector<object_defect> rejected_;
};

} // namespace samphire
