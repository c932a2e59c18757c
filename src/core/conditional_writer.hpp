#pragma once

#include "core/platform_operations.hpp"
#include "object_api/platform_result.hpp"

#include <absl/time/time.h>

#include <optional>

namespace samphire
{

/// Adds what this daemon knows to one platform object, by conditional writes.
/// Two daemons may write the object at the same time, and a daemon may write
/// after a long pause: a write at an old version conflicts and is repeated on
/// top of the content that won. When the answer to a write is lost, the object
/// is read again to find out whether the write succeeded.
class conditional_writer
{
public:
    static constexpr absl::Duration retry_delay = absl::Seconds(1);

    conditional_writer(object_name name, operation_owner owner);

    /// Reads the object first, then calls `desired` with the current content.
    /// `desired` takes a payload const& and returns std::optional<payload>: the
    /// content to write, or nullopt when the object needs no change.
    template <class Desired>
    void poll(platform_operations& operations, Desired desired, absl::Time now)
    {
        if (pending_operation_ || now < next_call_at_)
            return;
        if (!has_read_)
        {
            call(operations, {platform_method::get, name_, {}, {}}, now);
            return;
        }
        next_call_at_ = now + retry_delay;
        if (std::optional<payload> const value = desired(current_))
            call(
                operations,
                {platform_method::put_if, name_, version_, *value},
                now);
    }

    /// Handles the reply; false when the operation is not one of this object.
    bool on_reply(
        operation_id operation, platform_result const& result, absl::Time now);

    /// Content as of the last answer of the platform.
    payload const& current() const
    {
        return current_;
    }

private:
    void call(
        platform_operations& operations,
        platform_request const& request,
        absl::Time now);

    object_name const name_;
    operation_owner const owner_;
    bool has_read_{};
    object_version version_{};
    payload current_;
    payload pending_content_;
    std::optional<operation_id> pending_operation_;
    absl::Time next_call_at_{absl::InfinitePast()};
};

} // namespace samphire
