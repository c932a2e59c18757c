#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>

namespace samphire
{

/// Batch delay, size limits and retry limit of a key_binder.
struct binder_limits
{
    std::size_t const shard_count_{64};
    /// Time for which a shard collects requests into one write. The platform
    /// cannot process a write of each of the 64 shards every 5 ms; under such
    /// load, requests also wait for the preceding write of their shard, which
    /// enlarges the batches.
    absl::Duration const batch_delay_{absl::Milliseconds(5)};
    /// Maximum size of a shard. The platform accepts values of up to 1 MB.
    std::size_t const max_shard_bytes_{1'000'000};
    /// Minimum number of writes of a shard for which a binding is kept, even if
    /// a new key is refused because the shard is full.
    std::uint64_t const min_retained_writes_{4096};
    /// Maximum number of writes of one batch whose answers are lost. At this
    /// number, the requests of the batch end with outcome unknown.
    unsigned const max_lost_answers_{3};

    friend bool
    operator==(binder_limits const&, binder_limits const&) = default;
};

} // namespace samphire
