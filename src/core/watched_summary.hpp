#pragma once

#include "base/domain_name.hpp"
#include "core/object_watch.hpp"

#include <absl/strings/str_cat.h>

namespace samphire
{

/// Name of the object with the members of a domain.
inline object_name summary_object(domain_name const& domain)
{
    return object_name(absl::StrCat("summary/", domain.value()));
}

/// The summary of one other domain, as a watcher follows it.
struct watched_summary
{
    explicit watched_summary(domain_name const& domain)
        : watch_(summary_object(domain), platform_part::summaries)
    {
    }

    object_watch watch_;
    /// Version that was merged last; an older one is no complete list.
    object_version merged_{};
};

} // namespace samphire
