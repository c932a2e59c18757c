#pragma once

#include "core/platform_operations.hpp"
#include "object_api/platform_result.hpp"

#include <absl/time/time.h>

#include <optional>

namespace samphire
{

/// Merges data of this daemon into one platform object by conditional writes.
/// Two daemons may write the object at the same time, and a daemon may write
/// after a long pause: a write at an old version ends with status conflict, and
/// the next write is based on the content that the other daemon wrote. When the
/// answer to a write is lost, the object is read again to find out whether the
/// write succeeded.
class conditional_writer
{
public:
    static constexpr absl::Duration retry_delay = absl::Seconds(1);

    conditional_writer(object_name name, operation_owner owner);

    /// Makes the next platform call when it is due: reads the object, then
    /// passes its content to `make_content` and writes the result.
    /// `make_content` takes a payload const& and returns
    /// std::optional<payload>: the content to write, or nullopt when the object
    /// needs no change.
    template <class MakeContent>
    void poll(
        platform_operations& operations,
        MakeContent make_content,
        absl::Time now)
    {
        if (pending_operation_ || now < next_call_at_)
            return;
        if (!has_read_object_)
        {
            call(operations, {platform_method::get, name_, {}, {}}, now);
            return;
        }
        next_call_at_ = now + retry_delay;
        if (std::optional<payload> const value = make_content(current_content_))
            call(
                operations,
                {platform_method::put_if, name_, version_, *value},
                now);
    }

    /// Handles the reply of the platform. Returns false, and does nothing, when
    /// this writer is not waiting for a reply to `operation`.
    bool on_reply(
        operation_id operation, platform_result const& result, absl::Time now);

    /// Returns the content of the object in the last answer of the platform.
    payload const& current_content() const
    {
        return current_content_;
    }

private:
    void call(
        platform_operations& operations,
        platform_request const& request,
        absl::Time now);

    object_name const name_;
    operation_owner const owner_;
    bool has_read_object_{};
    object_version version_{};
    payload current_content_;
    payload content_being_written_;
    std::optional<operation_id> pending_operation_;
    absl::Time next_call_at_{absl::InfinitePast()};
};

} // namespace samphire
