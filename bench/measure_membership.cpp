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
        measured.mean_bytes_per_s_,
        measured.peak_bytes_per_s_,
        measured.max_datagram_bytes_);
    bool const within_limits = measured.peak_bytes_per_s_ <= 22 * 1024 &&
                               measured.max_datagram_bytes_ <= 1200;
    return within_limits ? 0 : 1;
}
