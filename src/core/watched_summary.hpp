#pragma once

#include "base/domain_name.hpp"
#include "core/object_watch.hpp"

#include <absl/strings/str_cat.h>

namespace samphire
{

/// Returns the name of the platform object that lists the members of a domain.
inline object_name summary_object(domain_name const& domain)
{
    return object_name(absl::StrCat("summary/", domain.value()));
}

/// Watches the member summary of one other domain in the platform.
struct watched_summary
{
    explicit watched_summary(domain_name const& domain)
        : watch_(summary_object(domain), operation_owner::summaries)
    {
    }

    object_watch watch_;
    /// Highest version of the summary that was merged into the membership. An
    /// older version may lack members, so it is not merged as a complete list.
    object_version merged_version_{};
};

} // namespace samphire
