#include "domain_traffic.hpp"

#include <fmt/format.h>

/// Prints the traffic of membership and configuration at the design scale of 12
/// domains with 425 daemons each; only one of the domains runs. Takes about
/// half a minute of CPU time. Exits with 1 when a figure exceeds its limit.
int main()
{
    samphire::fake::domain_traffic traffic(425, 11);
    auto const measured = traffic.measure();
    fmt::print(
        "members={} mean_bytes_per_second={} highest_bytes_per_second={} "
        "longest_datagram={}\n",
        measured.members_,
        measured.mean_,
        measured.highest_,
        measured.longest_datagram_);
    bool const within_limits =
        measured.highest_ <= 22 * 1024 && measured.longest_datagram_ <= 1200;
    return within_limits ? 0 : 1;
}
