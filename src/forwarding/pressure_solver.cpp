#include "forwarding/pressure_solver.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

constexpr double permille = 1000;
// Minimum ratio of the most urgent class that is admitted.
constexpr double min_admitted_ratio = 0.1;

} // namespace

std::uint32_t pressure_permille(std::span<double const> demand, double capacity)
{
    double remaining_capacity = capacity;
    for (std::size_t urgency = demand.size(); urgency > 0; --urgency)
    {
        double const class_demand = demand[urgency - 1];
        if (class_demand <= remaining_capacity)
        {
            remaining_capacity -= class_demand;
            continue;
        }
        double const admitted_ratio = remaining_capacity / class_demand;
        bool const most_urgent = urgency == demand.size();
        double const level =
            static_cast<double>(urgency) -
            std::max(admitted_ratio, most_urgent ? min_admitted_ratio : 0.0);
        return static_cast<std::uint32_t>(level * permille);
    }
    return 0;
}

} // namespace samphire
