#include "forwarding/pressure_solver.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

constexpr double permille = 1000;
// Part of a class that is admitted at least.
constexpr double always_admitted = 0.1;

} // namespace

std::uint32_t pressure_permille(std::span<double const> demand, double room)
{
    double left = room;
    for (std::size_t urgency = demand.size(); urgency > 0; --urgency)
    {
        double const asked = demand[urgency - 1];
        if (asked <= left)
        {
            left -= asked;
            continue;
        }
        double const admitted = left / asked;
        bool const most_urgent = urgency == demand.size();
        double const level =
            static_cast<double>(urgency) -
            std::max(admitted, most_urgent ? always_admitted : 0.0);
        return static_cast<std::uint32_t>(level * permille);
    }
    return 0;
}

} // namespace samphire
