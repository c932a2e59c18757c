#pragma once

#include "base/domain_name.hpp"
#include "core/object_watch.hpp"

#include <absl/strings/str_cat.h>

namespace samphire
{

/// Name of the platform object that lists the members of a domain.
inline object_name summary_object(domain_name const& domain)
{
    return object_name(absl::StrCat("summary/", domain.value()));
}

/// A watch on the summary of one other domain.
struct watched_summary
{
    explicit watched_summary(domain_name const& domain)
        : watch_(summary_object(domain), operation_owner::summaries)
    {
    }

    object_watch watch_;
    /// Highest version that was merged. An older version may lack members, so
    /// it is not merged as a complete list.
    object_version merged_version_{};
};

} // namespace samphire
