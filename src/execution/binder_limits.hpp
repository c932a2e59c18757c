#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>

namespace samphire
{

/// Bounds of a key_binder.
struct binder_limits
{
    std::size_t const shard_count_{64};
    /// Time for which a shard collects requests into one write. The platform
    /// cannot keep up with 64 shards that each write every 5 ms, but keys then
    /// wait for the preceding write of their shard, which enlarges the batches.
    absl::Duration const batch_delay_{absl::Milliseconds(5)};
    /// The platform takes values of up to 1 MB.
    std::size_t const max_shard_bytes_{1'000'000};
    /// A binding is kept for at least this many writes of its shard, even if a
    /// new key is refused because the shard is full.
    std::uint64_t const retained_writes_{4096};
    /// Lost answers after which the requests of a batch end as unknown.
    unsigned const max_lost_answers_{3};

    friend bool
    operator==(binder_limits const&, binder_limits const&) = default;
};

} // namespace samphire
