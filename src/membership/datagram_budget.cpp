#include "membership/datagram_budget.hpp"

namespace samphire
{

namespace
{

// Size of the length field before each text and each list.
constexpr std::size_t count_bytes = 4;
constexpr std::size_t endpoint_bytes = 6;
constexpr std::size_t number_bytes = 8;
// Sizes of the format version, the MAC, the byte order mark of the archive and
// the message type number.
constexpr std::size_t frame_bytes = 1 + 16 + 1 + 1;
// Sizes of the sequence number, the policy revision, and the counts of the
// member records and of the reachability reports.
constexpr std::size_t probe_bytes = 2 * number_bytes + 2 * count_bytes;

} // namespace

datagram_budget::datagram_budget(daemon_identity const& sender)
    : used_bytes_(
          frame_bytes + count_bytes + sender.daemon_.value().size() +
          number_bytes + endpoint_bytes + probe_bytes)
{
}

bool datagram_budget::try_reserve(member_record const& record)
{
    return try_reserve_bytes(encoded_size(record));
}

bool datagram_budget::try_reserve(domain_reachability const& report)
{
    return try_reserve_bytes(
        count_bytes + report.domain_.value().size() + number_bytes + 1);
}

bool datagram_budget::try_reserve_bytes(std::size_t size)
{
    if (used_bytes_ + size > max_datagram_bytes)
        return false;
    used_bytes_ += size;
    return true;
}

std::size_t datagram_budget::encoded_size(member_record const& record)
{
    return 3 * count_bytes + record.daemon_.value().size() +
           record.domain_.value().size() + record.service_.value().size() +
           2 * endpoint_bytes + 3 * number_bytes + 1 + 4;
}

} // namespace samphire
