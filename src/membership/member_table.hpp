#pragma once

#include "membership/member_record.hpp"
#include "membership/merge_outcome.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <map>

namespace samphire
{

/// The latest record of each daemon. Records only move forward in the order of
/// supersedes(); a gone record stays for a while, so that an old record that is
/// still under way cannot bring the member back.
class member_table
{
public:
    static constexpr std::size_t capacity = 8192;
    /// Longer than a record stays under way in datagrams, in held events of a
    /// frozen daemon, or in a summary of a domain that was cut off briefly.
    static constexpr absl::Duration gone_lifetime = absl::Minutes(10);

    /// A gone record of an unknown daemon is ignored: it would otherwise pass
    /// forever between daemons that drop it at different times.
    merge_outcome merge(member_record const& record, absl::Time now);
    /// Replaces a record unconditionally.
    void set(member_record const& record, absl::Time now);
    /// Drops gone records whose lifetime has passed.
    void expire(absl::Time now);

    member_record const* find(daemon_id const& daemon) const;
    /// The daemon at the address, if it is not gone.
    member_record const* at(endpoint address) const;
    /// When the record last changed; the infinite past for an unknown daemon.
    absl::Time changed(daemon_id const& daemon) const;

    /// Calls the function with each record, in the order of the daemons.
    template <class Function>
    void for_each(Function function) const
    {
        for (auto const& [id, held] : members_)
            function(held.record_);
    }

    /// Digest of each domain's members that are not gone; only domains that
    /// have such members. Kept up to date with each change, because every
    /// exchange of lists asks for it.
    std::map<domain_name, std::uint64_t> const& digests() const
    {
        return digests_;
    }

    std::size_t size() const
    {
        return members_.size();
    }

    /// New members that were ignored because the table was full.
    std::uint64_t ignored() const
    {
        return ignored_;
    }

private:
    struct entry
    {
        member_record const record_;
        absl::Time const changed_;
    };

    void replace(member_record const& record, absl::Time changed);
    /// Adds a record to the digest, or takes it out again.
    void toggle_digest(member_record const& record);

    std::map<daemon_id, entry> members_;
    std::map<domain_name, std::uint64_t> digests_;
    absl::flat_hash_map<endpoint, daemon_id> addresses_;
    std::map<daemon_id, absl::Time> gone_until_;
    std::uint64_t ignored_{};
};

} // namespace samphire
