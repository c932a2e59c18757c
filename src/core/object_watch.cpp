#include "core/object_watch.hpp"

#include <utility>

namespace samphire
{

object_watch::object_watch(object_name name, platform_part part)
    : name_(std::move(name)), part_(part)
{
}

void object_watch::poll(
    platform_operations& operations, bool follow, absl::Time now)
{
    if (now < next_deadline(follow))
        return;
    bool const watch = has_read_ && !version_.empty();
    waiting_ = operations.call(
        part_,
        {.method_ = watch ? platform_method::watch : platform_method::get,
         .name_ = name_,
         .version_ = watch ? version_ : object_version()});
    if (!waiting_)
        next_ = now + retry_wait;
}

bool object_watch::on_reply(
    operation_id operation, platform_result const& result, absl::Time now)
{
    if (waiting_ != operation)
        return false;
    waiting_.reset();
    next_ = now + shortest_wait;
    if (result.status_ == platform_status::ok)
    {
        version_ = result.version_;
        has_read_ = true;
    }
    else if (result.status_ == platform_status::absent)
    {
        version_ = {};
        has_read_ = true;
        next_ = now + retry_wait;
    }
    else if (result.status_ != platform_status::unchanged)
        next_ = now + retry_wait;
    return true;
}

void object_watch::read_again()
{
    waiting_.reset();
    has_read_ = false;
    next_ = absl::InfinitePast();
}

absl::Time object_watch::next_deadline(bool follow) const
{
    bool const idle = waiting_ || (has_read_ && !follow);
    return idle ? absl::InfiniteFuture() : next_;
}

} // namespace samphire
