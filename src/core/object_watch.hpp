#pragma once

#include "core/platform_operations.hpp"
#include "object_api/platform_result.hpp"

#include <absl/time/time.h>

#include <optional>

namespace samphire
{

/// Reads one platform object once, and follows its changes while asked to.
class object_watch
{
public:
    /// Wait after a call without an answer, and between reads of an absent
    /// object, which the platform does not let a watch wait for.
    static constexpr absl::Duration retry_wait = absl::Seconds(1);
    /// Shortest time between watches, for a platform that ends them at once.
    static constexpr absl::Duration shortest_wait = absl::Milliseconds(100);

    object_watch(object_name name, platform_part part);

    /// Makes the next call when it is due; `follow` keeps a watch waiting.
    void poll(platform_operations& operations, bool follow, absl::Time now);

    /// True when the reply was for this object.
    bool on_reply(
        operation_id operation, platform_result const& result, absl::Time now);

    /// Reads the object again at once; a reply under way is ignored.
    void read_again();

    /// True once the platform answered the latest read.
    bool has_read() const
    {
        return has_read_;
    }

    object_version version() const
    {
        return version_;
    }

    /// When the next call is due; infinite while one is waiting.
    absl::Time next_deadline(bool follow) const;

private:
    object_name const name_;
    platform_part const part_;
    object_version version_{};
    bool has_read_{};
    std::optional<operation_id> waiting_;
    absl::Time next_{absl::InfinitePast()};
};

} // namespace samphire
