#pragma once

#include "membership/member_record.hpp"
#include "membership/merge_outcome.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <map>

namespace samphire
{

/// Keeps the latest record of each daemon. A record is replaced only by one
/// that supersedes() it. A gone record stays for gone_lifetime, so that an old
/// record that arrives late cannot bring the member back.
class member_table
{
public:
    static constexpr std::size_t capacity = 8192;
    /// Time for which a gone record is kept. It exceeds the time by which a
    /// record can be delayed in datagrams, in the queued events of a paused
    /// daemon, or in the summary of a domain that was briefly cut off.
    static constexpr absl::Duration gone_lifetime = absl::Minutes(10);

    /// Merges the record and returns the effect on the table. A gone record of
    /// an unknown daemon is ignored: the record would otherwise circulate
    /// forever between daemons that drop it at different times.
    merge_outcome merge(member_record const& record, absl::Time now);
    /// Replaces the record of the daemon unconditionally.
    void set_record(member_record const& record, absl::Time now);
    /// Drops gone records whose lifetime has passed.
    void remove_expired(absl::Time now);

    member_record const* find(daemon_id const& daemon) const;
    /// Returns the record of the member at the address; null when there is no
    /// such member or the member is gone.
    member_record const* find_by_address(endpoint address) const;
    /// Returns the time at which the record last changed; the infinite past for
    /// an unknown daemon.
    absl::Time changed_at(daemon_id const& daemon) const;

    /// Calls the function with each record, in the order of the daemon ids.
    template <class Function>
    void for_each(Function function) const
    {
        for (auto const& [id, member] : members_)
            function(member.record_);
    }

    /// Returns for each domain the digest of its member records, without the
    /// records of gone members. A domain with only gone members has no digest.
    /// The digests are updated with each change of a record, because every
    /// exchange of member lists needs them.
    std::map<domain_name, std::uint64_t> const& domain_digests() const
    {
        return domain_digests_;
    }

    std::size_t size() const
    {
        return members_.size();
    }

    /// Returns the number of new members that were ignored because the table
    /// was full.
    std::uint64_t ignored_members() const
    {
        return ignored_members_;
    }

private:
    struct member_entry
    {
        member_record const record_;
        absl::Time const changed_at_;
    };

    void replace_record(member_record const& record, absl::Time changed_at);
    /// XORs the hash of the record into the digest of its domain: the first
    /// call with a record adds the record, the next call removes the record.
    /// Does nothing for a gone record.
    void toggle_in_domain_digest(member_record const& record);

    std::map<daemon_id, member_entry> members_;
    std::map<domain_name, std::uint64_t> domain_digests_;
    absl::flat_hash_map<endpoint, daemon_id> daemons_by_address_;
    /// Time at which the gone record of a daemon is dropped.
    std::map<daemon_id, absl::Time> gone_record_expiry_times_;
    std::uint64_t ignored_members_{};
};

} // namespace samphire
