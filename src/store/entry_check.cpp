#include "store/entry_check.hpp"

#include "forwarding/start_time_check.hpp"
#include "store/object_name.hpp"

#include <string_view>

namespace samphire
{

namespace
{

/// Returns the rule that the entry breaks; empty when it breaks none.
std::string_view broken_rule(stored_upstream const& entry, absl::Time now)
{
    if (entry.name_ != object_name_of(entry.record_.daemon_))
        return "daemon: must be the daemon after which the object is named";
    if (!is_plausible_start(entry.record_.start_time_ms_, now))
        return "born: must not lie in the future";
    return {};
}

} // namespace

entry_check::entry_check(
    std::vector<stored_upstream> const& entries, absl::Time now)
{
    for (stored_upstream const& entry : entries)
    {
        std::string_view const rule = broken_rule(entry, now);
        if (rule.empty())
            usable_.push_back(entry);
        else
            rejected_.push_back(
                {entry.name_, entry.revision_, std::string(rule)});
    }
}

} // namespace samphire
