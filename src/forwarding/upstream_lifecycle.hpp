#pragma once

#include "base/endpoint.hpp"
#include "forwarding/upstream_heartbeat.hpp"
#include "forwarding/upstream_record.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace samphire
{

/// Decides which upstream process beside this daemon takes work, from its
/// heartbeats, which may come late, and from what an earlier process of this
/// daemon recorded. An upstream that said it leaves is never opened again.
class upstream_lifecycle
{
public:
    /// `daemon` takes messages of other daemons; `upstream` is the address
    /// beside this daemon.
    upstream_lifecycle(endpoint daemon, endpoint upstream, std::string zone);

    /// True when the record changed.
    bool on_heartbeat(upstream_heartbeat const& heartbeat, absl::Time now);
    /// The upstream says that it is going, without a state before.
    bool on_removal(upstream_id const& id, absl::Time now);
    /// What the store or a peer remembers of this daemon's upstream.
    bool on_remembered(upstream_record const& record, absl::Time now);
    /// Nothing more can be learned of an earlier process; heartbeats that were
    /// held back count from now on.
    bool on_memory_complete(absl::Time now);

    upstream_record const& record() const
    {
        return record_;
    }

    bool memory_complete() const
    {
        return memory_complete_;
    }

    /// How much longer the upstream is slow after its start.
    absl::Time warm_at() const
    {
        return warm_at_;
    }

private:
    static constexpr std::size_t departed_capacity = 256;

    bool departed(upstream_id const& id, std::int64_t born) const;
    void remember_departed(upstream_id const& id, std::int64_t born);
    bool apply(upstream_heartbeat const& heartbeat, absl::Time now);

    endpoint const upstream_;
    upstream_record record_;
    std::int64_t sequence_{};
    bool memory_complete_{};
    std::optional<upstream_heartbeat> held_;
    absl::Time warm_at_{absl::InfinitePast()};
    /// Latest start of each upstream that left, in Unix milliseconds.
    absl::flat_hash_map<upstream_id, std::int64_t> departed_;
};

} // namespace samphire
