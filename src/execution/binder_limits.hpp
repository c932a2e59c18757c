#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>

namespace samphire
{

/// Bounds of a key_binder.
struct binder_limits
{
    std::size_t const shards_{64};
    /// How long the requests of a shard are collected into one write. 64
    /// shards with one write each 5 ms exceed the platform, but keys then wait
    /// for the write before theirs, which makes batches larger.
    absl::Duration const batch_delay_{absl::Milliseconds(5)};
    /// The platform takes values of up to 1 MB.
    std::size_t const shard_bytes_{1'000'000};
    /// A binding is kept for so many writes of its shard, even if a new key
    /// is refused for lack of room.
    std::uint64_t const retained_writes_{4096};
    /// Lost answers after which a batch is given up.
    unsigned const lost_answers_{3};

    friend bool
    operator==(binder_limits const&, binder_limits const&) = default;
};

} // namespace samphire
