#include "domain_traffic.hpp"

#include <fmt/format.h>

/// Prints the traffic of membership and configuration at the design scale: one
/// of 12 domains of 425 daemons runs. Takes about half a minute of CPU time.
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
    bool const within =
        measured.highest_ <= 22 * 1024 && measured.longest_datagram_ <= 1200;
    return within ? 0 : 1;
}
