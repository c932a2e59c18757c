#pragma once

#include "core/platform_operations.hpp"
#include "object_api/platform_result.hpp"

#include <absl/time/time.h>

#include <optional>

namespace samphire
{

/// Keeps one platform object joined with what this daemon knows, by
/// conditional updates. Two daemons may do it at the same time, or one after a
/// long pause: a write at an old version conflicts, and is made again from the
/// content that won. A write whose answer was lost is recognised by reading.
class conditional_writer
{
public:
    static constexpr absl::Duration retry_wait = absl::Seconds(1);

    conditional_writer(object_name name, platform_part part);

    /// Reads the object first; then asks `desired` for the content that shall
    /// replace the current one, nothing when it is right already. `desired`
    /// takes a payload const& and returns std::optional<payload>.
    template <class Desired>
    void poll(platform_operations& operations, Desired desired, absl::Time now)
    {
        if (waiting_ || now < next_)
            return;
        if (!has_read_)
        {
            call(operations, {platform_method::get, name_, {}, {}}, now);
            return;
        }
        next_ = now + retry_wait;
        if (std::optional<payload> const value = desired(current_))
            call(
                operations,
                {platform_method::put_if, name_, version_, *value},
                now);
    }

    /// True when the reply was for this object.
    bool on_reply(
        operation_id operation, platform_result const& result, absl::Time now);

    /// Content at the last answer of the platform.
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
    platform_part const part_;
    bool has_read_{};
    object_version version_{};
    payload current_;
    payload written_;
    std::optional<operation_id> waiting_;
    absl::Time next_{absl::InfinitePast()};
};

} // namespace samphire
