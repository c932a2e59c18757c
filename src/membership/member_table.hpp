#pragma once

#include "membership/member_record.hpp"
#include "membership/merge_outcome.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <map>

namespace samphire
{

/// The latest record of each daemon. A record is replaced only by one that
/// supersedes() it. A gone record stays for gone_lifetime, so that an old
/// record that arrives late cannot bring the member back.
class member_table
{
public:
    static constexpr std::size_t capacity = 8192;
    /// Exceeds the delay of a record in datagrams, in the queued events of a
    /// frozen daemon, or in the summary of a domain that was briefly cut off.
    static constexpr absl::Duration gone_lifetime = absl::Minutes(10);

    /// A gone record of an unknown daemon is ignored: it would otherwise
    /// circulate forever between daemons that drop it at different times.
    merge_outcome merge(member_record const& record, absl::Time now);
    /// Replaces a record unconditionally.
    void set(member_record const& record, absl::Time now);
    /// Drops gone records whose lifetime has passed.
    void expire(absl::Time now);

    member_record const* find(daemon_id const& daemon) const;
    /// The member at the address; null when there is none or it is gone.
    member_record const* find_by_address(endpoint address) const;
    /// When the record last changed; the infinite past for an unknown daemon.
    absl::Time changed_at(daemon_id const& daemon) const;

    /// Calls the function with each record, in the order of the daemons.
    template <class Function>
    void for_each(Function function) const
    {
        for (auto const& [id, member] : members_)
            function(member.record_);
    }

    /// Digest of the members of each domain that are not gone; a domain without
    /// such members has no entry. Updated with each change, because every
    /// exchange of member lists needs it.
    std::map<domain_name, std::uint64_t> const& digests() const
    {
        return digests_;
    }

    std::size_t size() const
    {
        return members_.size();
    }

    /// New members that were ignored because the table was full.
    std::uint64_t ignored_members() const
    {
        return ignored_members_;
    }

private:
    struct entry
    {
        member_record const record_;
        absl::Time const changed_at_;
    };

    void replace(member_record const& record, absl::Time changed_at);
    /// Adds the record to the digest of its domain, or removes it again.
    void toggle_digest(member_record const& record);

    std::map<daemon_id, entry> members_;
    std::map<domain_name, std::uint64_t> digests_;
    absl::flat_hash_map<endpoint, daemon_id> daemons_by_address_;
    std::map<daemon_id, absl::Time> gone_until_;
    std::uint64_t ignored_members_{};
};

} // namespace samphire
