#pragma once

#include "core/daemon_identity.hpp"
#include "membership/domain_reachability.hpp"
#include "membership/member_record.hpp"

#include <cstddef>

namespace samphire
{

/// Tracks the space that member records take in one datagram. The encoded sizes
/// are stated in this class, so that membership does not depend on the codec; a
/// test compares the sizes with encoded messages.
class datagram_budget
{
public:
    /// Maximum size of a datagram; longer ones may be fragmented.
    static constexpr std::size_t max_datagram_bytes = 1200;

    explicit datagram_budget(daemon_identity const& sender);

    /// Reserves space for the record. Returns false when the record does not
    /// fit.
    bool try_reserve(member_record const& record);
    /// Reserves space for the report. Returns false when the report does not
    /// fit.
    bool try_reserve(domain_reachability const& report);

    /// Returns the encoded size of the ping or acknowledgement with all
    /// reserved records and reports.
    std::size_t used_bytes() const
    {
        return used_bytes_;
    }

    /// Returns the encoded size of one record in bytes.
    static std::size_t encoded_size(member_record const& record);

private:
    bool try_reserve_bytes(std::size_t bytes);

    std::size_t used_bytes_;
};

} // namespace samphire
