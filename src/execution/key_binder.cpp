#include "execution/key_binder.hpp"

#include <algorithm>
#include <utility>

namespace samphire
{

key_binder::key_binder(binder_limits limits) : limits_(limits)
{
}

void key_binder::bind(binding_request const& request, absl::Time now)
{
    std::size_t const shard_number = request.key_.low_ % limits_.shard_count_;
    shard_progress& shard = progress_by_shard_[shard_number];
    bool const idle = shard.phase_ == batch_phase::collecting;
    if (idle && shard.waiting_requests_.empty())
        shard_deadlines_.set(shard_number, now + limits_.batch_delay_);
    shard.waiting_requests_.push_back(request);
}

void key_binder::drop_request_of(call_id call)
{
    for (auto& [shard_number, shard] : progress_by_shard_)
    {
        std::list<binding_request> remaining;
        for (binding_request const& request : shard.waiting_requests_)
        {
            if (request.call_ != call)
                remaining.push_back(request);
        }
        shard.waiting_requests_.swap(remaining);
    }
}

std::vector<binding_operation> key_binder::start_due_calls(absl::Time now)
{
    std::vector<binding_operation> result;
    while (auto const shard_number = shard_deadlines_.pop_due(now))
    {
        shard_progress& shard = progress_by_shard_[*shard_number];
        if (shard.phase_ == batch_phase::collecting)
        {
            shard.batch_requests_.swap(shard.waiting_requests_);
            shard.phase_ = batch_phase::reading;
        }
        if (shard.batch_requests_.empty())
        {
            finish_batch(*shard_number, now);
            continue;
        }
        bool const is_write = shard.phase_ == batch_phase::writing;
        result.push_back(
            {*shard_number,
             {.method_ =
                  is_write ? platform_method::put_if : platform_method::get,
              .name_ = object_name_of(*shard_number),
              .version_ = is_write ? shard.version_ : object_version{},
              .value_ = is_write ? shard.content_to_write_ : payload{}}});
    }
    return result;
}

std::vector<binding_result> key_binder::on_result(
    std::size_t shard_number, platform_result const& result, absl::Time now)
{
    if (progress_by_shard_[shard_number].phase_ == batch_phase::writing)
        return on_written(shard_number, result, now);
    switch (result.status_)
    {
    case platform_status::ok:
    case platform_status::absent:
        return decide_batch(shard_number, result, now);
    default:
        // The object could not be read. An earlier request may have bound a key
        // of the batch, so the outcome is unknown.
        return end_batch_with_outcome(
            shard_number, binding_outcome::unknown, now);
    }
}

std::vector<binding_result> key_binder::on_written(
    std::size_t shard_number, platform_result const& result, absl::Time now)
{
    shard_progress& shard = progress_by_shard_[shard_number];
    switch (result.status_)
    {
    case platform_status::ok:
    case platform_status::conflict:
        // The tickets of the keys are in the value that was written or, after a
        // conflict, in the value that the platform returned.
        shard.phase_ = batch_phase::reading;
        return decide_batch(
            shard_number,
            {platform_status::ok,
             result.version_,
             result.status_ == platform_status::ok ? shard.content_to_write_
                                                   : result.value_},
            now);
    case platform_status::refused:
        return end_batch_with_outcome(
            shard_number,
            shard.write_in_doubt_ ? binding_outcome::unknown
                                  : binding_outcome::not_bound,
            now);
    default:
        shard.write_in_doubt_ = true;
        if (++shard.lost_answer_count_ >= limits_.max_lost_answers_)
            return end_batch_with_outcome(
                shard_number, binding_outcome::unknown, now);
        // The write without an answer may have taken effect, so the object is
        // read again.
        shard.phase_ = batch_phase::reading;
        shard_deadlines_.set(shard_number, now);
        return {};
    }
}

/// Returns the results of the requests whose keys have a usable ticket in the
/// shard object, and prepares a write that binds the keys of the other
/// requests.
std::vector<binding_result> key_binder::decide_batch(
    std::size_t shard_number, platform_result const& result, absl::Time now)
{
    shard_progress& shard = progress_by_shard_[shard_number];
    auto content = binding_shard::parse(result.value_);
    if (!content)
        return end_batch_with_outcome(
            shard_number, binding_outcome::unknown, now);
    std::vector<binding_result> decided;
    std::list<binding_request> undecided;
    for (binding_request const& request : shard.batch_requests_)
    {
        key_binding const* const existing = content->find(request.key_);
        bool const usable =
            existing && !(request.closed_ticket_ &&
                          existing->ticket_ == *request.closed_ticket_);
        if (usable)
            decided.push_back(
                {request.call_, binding_outcome::bound, existing->ticket_});
        else
            undecided.push_back(request);
    }
    shard.batch_requests_.swap(undecided);
    shard.version_ = result.version_;
    if (shard.batch_requests_.empty())
    {
        finish_batch(shard_number, now);
        return decided;
    }
    content->start_write();
    for (binding_request const& request : shard.batch_requests_)
    {
        key_binding const* const existing = content->find(request.key_);
        // When several requests of the batch have the same key, the first one
        // binds the key to its ticket.
        bool const already_bound =
            existing && !(request.closed_ticket_ &&
                          existing->ticket_ == *request.closed_ticket_);
        if (!already_bound)
            content->bind(request.key_, request.offered_ticket_);
    }
    if (!content->shrink(
            limits_.max_shard_bytes_, limits_.min_retained_writes_))
    {
        auto const refused = end_batch_with_outcome(
            shard_number,
            shard.write_in_doubt_ ? binding_outcome::unknown
                                  : binding_outcome::not_bound,
            now);
        for (binding_result const& failure : refused)
            decided.push_back(failure);
        return decided;
    }
    shard.content_to_write_ = content->json_text();
    shard.phase_ = batch_phase::writing;
    shard_deadlines_.set(shard_number, now);
    return decided;
}

std::vector<binding_result> key_binder::end_batch_with_outcome(
    std::size_t shard_number, binding_outcome outcome, absl::Time now)
{
    std::vector<binding_result> decided;
    for (binding_request const& request :
         progress_by_shard_[shard_number].batch_requests_)
        decided.push_back({request.call_, outcome, std::nullopt});
    finish_batch(shard_number, now);
    return decided;
}

void key_binder::finish_batch(std::size_t shard_number, absl::Time now)
{
    std::list<binding_request> const waiting =
        std::move(progress_by_shard_[shard_number].waiting_requests_);
    progress_by_shard_.erase(shard_number);
    for (binding_request const& request : waiting)
        bind(request, now);
}

absl::Time key_binder::next_deadline() const
{
    return shard_deadlines_.next_deadline();
}

object_name key_binder::object_name_of(std::size_t shard_number) const
{
    return object_name("bindings/" + std::to_string(shard_number));
}

} // namespace samphire
