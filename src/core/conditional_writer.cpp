#include "core/conditional_writer.hpp"

#include <utility>

namespace samphire
{

conditional_writer::conditional_writer(object_name name, platform_part part)
    : name_(std::move(name)), part_(part)
{
}

bool conditional_writer::on_reply(
    operation_id operation, platform_result const& result, absl::Time now)
{
    if (waiting_ != operation)
        return false;
    waiting_.reset();
    next_ = now;
    payload const written = std::exchange(written_, {});
    switch (result.status_)
    {
    case platform_status::ok:
        // The answer to a write may leave the content out.
        current_ = written.size() > 0 ? written : result.value_;
        version_ = result.version_;
        has_read_ = true;
        break;
    case platform_status::conflict:
        current_ = result.value_;
        version_ = result.version_;
        break;
    case platform_status::absent:
        current_ = {};
        version_ = {};
        has_read_ = true;
        break;
    case platform_status::unchanged:
    case platform_status::refused:
    case platform_status::no_answer:
        has_read_ = false;
        next_ = now + retry_wait;
        break;
    }
    return true;
}

void conditional_writer::call(
    platform_operations& operations,
    platform_request const& request,
    absl::Time now)
{
    written_ = request.value_;
    waiting_ = operations.call(part_, request);
    if (!waiting_)
        next_ = now + retry_wait;
}

} // namespace samphire
