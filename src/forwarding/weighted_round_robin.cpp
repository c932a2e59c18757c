#include "forwarding/weighted_round_robin.hpp"

namespace samphire
{

service_name const& weighted_round_robin::next(route_rule const& route)
{
    if (route.shares_.size() == 1)
        return route.shares_.front().service_;
    std::vector<std::int64_t>& credits = credits_by_route_[route.name_];
    credits.resize(route.shares_.size());
    std::int64_t total = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < credits.size(); ++i)
    {
        credits[i] += route.shares_[i].weight_;
        total += route.shares_[i].weight_;
        if (credits[i] > credits[best])
            best = i;
    }
    credits[best] -= total;
    return route.shares_[best].service_;
}

} // namespace samphire
