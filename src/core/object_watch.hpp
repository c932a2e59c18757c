#pragma once

#include "core/platform_operations.hpp"
#include "object_api/platform_result.hpp"

#include <absl/time/time.h>

#include <optional>

namespace samphire
{

/// Reads one platform object once and, on request, then watches the object for
/// changes.
class object_watch
{
public:
    /// Delay before the next platform call after a call without an answer, and
    /// between two reads of an absent object, because the platform does not
    /// support a watch on an absent object.
    static constexpr absl::Duration retry_delay = absl::Seconds(1);
    /// Minimum time between a reply and the next call; limits the rate of calls
    /// to a platform that ends each watch at once.
    static constexpr absl::Duration min_poll_interval = absl::Milliseconds(100);

    object_watch(object_name name, operation_owner owner);

    /// Makes the next platform call if the call is due. With `keep_watching`,
    /// the object is watched for changes after the object has been read.
    void
    poll(platform_operations& operations, bool keep_watching, absl::Time now);

    /// Handles the reply of the platform. Returns false, and does nothing, when
    /// this watch is not waiting for a reply to `operation`.
    bool on_reply(
        operation_id operation, platform_result const& result, absl::Time now);

    /// Makes the next poll() read the object again. The reply to a pending
    /// operation will be ignored.
    void read_again();

    /// Returns true once the platform has answered the latest read.
    bool has_read_object() const
    {
        return has_read_object_;
    }

    object_version version() const
    {
        return version_;
    }

    /// Returns the time at which the next platform call is due; infinite while
    /// an operation is pending.
    absl::Time next_deadline(bool keep_watching) const;

private:
    object_name const name_;
    operation_owner const owner_;
    object_version version_{};
    bool has_read_object_{};
    std::optional<operation_id> pending_operation_;
    absl::Time next_call_at_{absl::InfinitePast()};
};

} // namespace samphire
