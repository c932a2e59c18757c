#include "core/conditional_writer.hpp"

#include <utility>

namespace samphire
{

conditional_writer::conditional_writer(object_name name, operation_owner owner)
    : name_(std::move(name)), owner_(owner)
{
}

bool conditional_writer::on_reply(
    operation_id operation, platform_result const& result, absl::Time now)
{
    if (pending_operation_ != operation)
        return false;
    pending_operation_.reset();
    next_call_at_ = now;
    payload const sent_content = std::exchange(content_being_written_, {});
    switch (result.status_)
    {
    case platform_status::ok:
        // The answer to a write may omit the content; the object then holds the
        // content that was sent.
        current_content_ =
            sent_content.size() > 0 ? sent_content : result.value_;
        version_ = result.version_;
        has_read_object_ = true;
        break;
    case platform_status::conflict:
        current_content_ = result.value_;
        version_ = result.version_;
        break;
    case platform_status::absent:
        current_content_ = {};
        version_ = {};
        has_read_object_ = true;
        break;
    case platform_status::unchanged:
    case platform_status::refused:
    case platform_status::no_answer:
        has_read_object_ = false;
        next_call_at_ = now + retry_delay;
        break;
    }
    return true;
}

void conditional_writer::call(
    platform_operations& operations,
    platform_request const& request,
    absl::Time now)
{
    content_being_written_ = request.value_;
    pending_operation_ = operations.call(owner_, request);
    if (!pending_operation_)
        next_call_at_ = now + retry_delay;
}

} // namespace samphire
