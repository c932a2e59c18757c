#pragma once

#include <absl/time/time.h>

namespace samphire
{

/// Times of the calls of the store.
struct store_times
{
    /// A waiting watch is renewed after this time; every call is priced, and a
    /// connection that went silent is noticed only then.
    absl::Duration watch_{absl::Seconds(8)};
    /// A call without an answer is given up after this time.
    absl::Duration answer_{absl::Milliseconds(900)};
    absl::Duration first_backoff_{absl::Milliseconds(100)};
    absl::Duration longest_backoff_{absl::Milliseconds(1000)};
    /// Daemons announce themselves to each other, so the list only repairs;
    /// after a start it is read more often, since many may start together.
    absl::Duration first_list_period_{absl::Milliseconds(500)};
    absl::Duration list_period_{absl::Seconds(10)};
    /// The first heartbeat is awaited for so long, to save a write.
    absl::Duration first_write_{absl::Seconds(3)};

    friend bool operator==(store_times const&, store_times const&) = default;
};

} // namespace samphire
