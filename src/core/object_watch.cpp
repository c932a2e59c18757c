#include "core/object_watch.hpp"

#include <utility>

namespace samphire
{

object_watch::object_watch(object_name name, operation_owner owner)
    : name_(std::move(name)), owner_(owner)
{
}

void object_watch::poll(
    platform_operations& operations, bool keep_watching, absl::Time now)
{
    if (now < next_deadline(keep_watching))
        return;
    bool const watch = has_read_object_ && !version_.empty();
    pending_operation_ = operations.call(
        owner_,
        {.method_ = watch ? platform_method::watch : platform_method::get,
         .name_ = name_,
         .version_ = watch ? version_ : object_version()});
    if (!pending_operation_)
        next_call_at_ = now + retry_delay;
}

bool object_watch::on_reply(
    operation_id operation, platform_result const& result, absl::Time now)
{
    if (pending_operation_ != operation)
        return false;
    pending_operation_.reset();
    next_call_at_ = now + min_poll_interval;
    if (result.status_ == platform_status::ok)
    {
        version_ = result.version_;
        has_read_object_ = true;
    }
    else if (result.status_ == platform_status::absent)
    {
        version_ = {};
        has_read_object_ = true;
        next_call_at_ = now + retry_delay;
    }
    else if (result.status_ != platform_status::unchanged)
        next_call_at_ = now + retry_delay;
    return true;
}

void object_watch::read_again()
{
    pending_operation_.reset();
    has_read_object_ = false;
    next_call_at_ = absl::InfinitePast();
}

absl::Time object_watch::next_deadline(bool keep_watching) const
{
    bool const idle =
        pending_operation_ || (has_read_object_ && !keep_watching);
    return idle ? absl::InfiniteFuture() : next_call_at_;
}

} // namespace samphire
