#include "membership/datagram_budget.hpp"

namespace samphire
{

namespace
{

// Length before each text and each list.
constexpr std::size_t count_size = 4;
constexpr std::size_t endpoint_size = 6;
constexpr std::size_t number_size = 8;
// Format version, MAC, byte order mark of the archive, number of the type.
constexpr std::size_t frame_size = 1 + 16 + 1 + 1;
// Sequence, revision, counts of the records and of the domains.
constexpr std::size_t probe_size = 2 * number_size + 2 * count_size;

} // namespace

datagram_budget::datagram_budget(daemon_identity const& sender)
    : used_(
          frame_size + count_size + sender.daemon_.value().size() +
          number_size + endpoint_size + probe_size)
{
}

bool datagram_budget::take(member_record const& record)
{
    return reserve(encoded_size(record));
}

bool datagram_budget::take(domain_reachability const& report)
{
    return reserve(
        count_size + report.domain_.value().size() + number_size + 1);
}

bool datagram_budget::reserve(std::size_t size)
{
    if (used_ + size > size_limit)
        return false;
    used_ += size;
    return true;
}

std::size_t datagram_budget::encoded_size(member_record const& record)
{
    return 3 * count_size + record.daemon_.value().size() +
           record.domain_.value().size() + record.service_.value().size() +
           2 * endpoint_size + 3 * number_size + 1 + 4;
}

} // namespace samphire
