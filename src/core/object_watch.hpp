#pragma once

#include "core/platform_operations.hpp"
#include "object_api/platform_result.hpp"

#include <absl/time/time.h>

#include <optional>

namespace samphire
{

/// Reads one platform object once and, on request, watches it for changes.
class object_watch
{
public:
    /// Delay after a call without an answer, and between reads of an absent
    /// object, because the platform does not support a watch on one.
    static constexpr absl::Duration retry_delay = absl::Seconds(1);
    /// Limits the rate of calls to a platform that ends each watch at once.
    static constexpr absl::Duration min_poll_interval = absl::Milliseconds(100);

    object_watch(object_name name, operation_owner owner);

    /// Makes the next call when it is due. With `keep_watching`, the object is
    /// watched for changes after it has been read.
    void
    poll(platform_operations& operations, bool keep_watching, absl::Time now);

    /// Handles the reply; false when the operation is not one of this object.
    bool on_reply(
        operation_id operation, platform_result const& result, absl::Time now);

    /// Makes the next poll() read the object; the reply to a pending operation
    /// is ignored.
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

    /// When the next call is due; infinite while an operation is pending.
    absl::Time next_deadline(bool keep_watching) const;

private:
    object_name const name_;
    operation_owner const owner_;
    object_version version_{};
    bool has_read_{};
    std::optional<operation_id> pending_operation_;
    absl::Time next_call_at_{absl::InfinitePast()};
};

} // namespace samphire
