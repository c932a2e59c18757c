#include "admission/level_table.hpp"

namespace samphire
{

level_table::level_table(std::size_t capacity, absl::Duration validity)
    : capacity_(capacity), validity_(validity)
{
}

void level_table::observe(
    service_name const& service,
    route_name const& route,
    admission_level level,
    absl::Time now)
{
    auto const found = levels_.find(key(service, route));
    if (found != levels_.end())
        found->second = {level, now};
    else if (levels_.size() < capacity_)
        levels_.emplace(key(service, route), observed_level{level, now});
}

admission_level level_table::current(
    service_name const& service, route_name const& route, absl::Time now) const
{
    auto const found = levels_.find(key(service, route));
    if (found == levels_.end() || now - found->second.at_ > validity_)
        return {};
    return found->second.level_;
}

} // namespace samphire
