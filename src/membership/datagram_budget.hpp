#pragma once

#include "core/daemon_identity.hpp"
#include "membership/domain_reachability.hpp"
#include "membership/member_record.hpp"

#include <cstddef>

namespace samphire
{

/// Room for member records in one datagram. Decisions do not use the codec, so
/// the sizes are stated here; a test compares them with encoded messages.
class datagram_budget
{
public:
    /// Longest datagram in bytes; longer ones may be fragmented.
    static constexpr std::size_t size_limit = 1200;

    explicit datagram_budget(daemon_identity const& sender);

    /// Reserves room for the record; false when it does not fit.
    bool take(member_record const& record);
    bool take(domain_reachability const& report);

    /// Bytes of a ping or acknowledgement so far.
    std::size_t used() const
    {
        return used_;
    }

    /// Bytes of one record.
    static std::size_t encoded_size(member_record const& record);

private:
    bool reserve(std::size_t size);

    std::size_t used_;
};

} // namespace samphire
