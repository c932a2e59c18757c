#pragma once

#include "core/daemon_identity.hpp"
#include "membership/domain_reachability.hpp"
#include "membership/member_record.hpp"

#include <cstddef>

namespace samphire
{

/// Tracks the space that member records take in one datagram. Decisions do not
/// depend on the codec, so the encoded sizes are stated here; a test compares
/// them with encoded messages.
class datagram_budget
{
public:
    /// Longer datagrams may be fragmented.
    static constexpr std::size_t max_datagram_bytes = 1200;

    explicit datagram_budget(daemon_identity const& sender);

    /// Reserves space for the record; false when it does not fit.
    bool reserve(member_record const& record);
    bool reserve(domain_reachability const& report);

    /// Encoded size of the ping or acknowledgement with all that was reserved.
    std::size_t used_bytes() const
    {
        return used_bytes_;
    }

    /// Encoded size of one record in bytes.
    static std::size_t encoded_size(member_record const& record);

private:
    bool reserve_bytes(std::size_t bytes);

    std::size_t used_bytes_;
};

} // namespace samphire
