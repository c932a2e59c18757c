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
    std::size_t const number = request.key_.low_ % limits_.shards_;
    shard_state& shard = shards_[number];
    bool const idle = shard.phase_ == batch_phase::collecting;
    if (idle && shard.waiting_.empty())
        due_.set(number, now + limits_.batch_delay_);
    shard.waiting_.push_back(request);
}

void key_binder::forget(call_id call)
{
    for (auto& [number, shard] : shards_)
    {
        std::list<binding_request> kept;
        for (binding_request const& request : shard.waiting_)
        {
            if (request.call_ != call)
                kept.push_back(request);
        }
        shard.waiting_.swap(kept);
    }
}

std::vector<binding_operation> key_binder::start_due(absl::Time now)
{
    std::vector<binding_operation> result;
    while (auto const number = due_.pop_due(now))
    {
        shard_state& shard = shards_[*number];
        if (shard.phase_ == batch_phase::collecting)
        {
            shard.batch_.swap(shard.waiting_);
            shard.phase_ = batch_phase::reading;
        }
        if (shard.batch_.empty())
        {
            finish_batch(*number, now);
            continue;
        }
        bool const write = shard.phase_ == batch_phase::writing;
        result.push_back(
            {*number,
             {.method_ = write ? platform_method::put_if : platform_method::get,
              .name_ = name_of(*number),
              .version_ = write ? shard.version_ : object_version{},
              .value_ = write ? shard.write_ : payload{}}});
    }
    return result;
}

std::vector<binding_result> key_binder::on_result(
    std::size_t number, platform_result const& result, absl::Time now)
{
    if (shards_[number].phase_ == batch_phase::writing)
        return on_written(number, result, now);
    switch (result.status_)
    {
    case platform_status::ok:
    case platform_status::absent:
        return merge(number, result, now);
    default:
        // An earlier send of a key may have bound it, so nothing is known.
        return give_up(number, binding_outcome::unknown, now);
    }
}

std::vector<binding_result> key_binder::on_written(
    std::size_t number, platform_result const& result, absl::Time now)
{
    shard_state& shard = shards_[number];
    switch (result.status_)
    {
    case platform_status::ok:
    case platform_status::conflict:
        // Either object shows which tickets hold now.
        shard.phase_ = batch_phase::reading;
        return merge(
            number,
            {platform_status::ok,
             result.version_,
             result.status_ == platform_status::ok ? shard.write_
                                                   : result.value_},
            now);
    case platform_status::refused:
        return give_up(
            number,
            shard.write_in_doubt_ ? binding_outcome::unknown
                                  : binding_outcome::not_bound,
            now);
    default:
        shard.write_in_doubt_ = true;
        if (++shard.lost_answers_ >= limits_.lost_answers_)
            return give_up(number, binding_outcome::unknown, now);
        // The write may have taken effect: the object tells.
        shard.phase_ = batch_phase::reading;
        due_.set(number, now);
        return {};
    }
}

/// Decides the calls whose keys have a ticket in the object and prepares the
/// write for the others.
std::vector<binding_result> key_binder::merge(
    std::size_t number, platform_result const& result, absl::Time now)
{
    shard_state& shard = shards_[number];
    auto content = binding_shard::parse(result.value_);
    if (!content)
        return give_up(number, binding_outcome::unknown, now);
    std::vector<binding_result> decided;
    std::list<binding_request> open;
    for (binding_request const& request : shard.batch_)
    {
        key_binding const* const held = content->find(request.key_);
        bool const usable =
            held && !(request.closed_ && held->ticket_ == *request.closed_);
        if (usable)
            decided.push_back(
                {request.call_, binding_outcome::bound, held->ticket_});
        else
            open.push_back(request);
    }
    shard.batch_.swap(open);
    shard.version_ = result.version_;
    if (shard.batch_.empty())
    {
        finish_batch(number, now);
        return decided;
    }
    content->start_write();
    for (binding_request const& request : shard.batch_)
    {
        key_binding const* const held = content->find(request.key_);
        // The first of two calls with one key in one batch decides.
        bool const taken =
            held && !(request.closed_ && held->ticket_ == *request.closed_);
        if (!taken)
            content->bind(request.key_, request.offered_);
    }
    if (!content->shrink(limits_.shard_bytes_, limits_.retained_writes_))
    {
        auto const refused = give_up(
            number,
            shard.write_in_doubt_ ? binding_outcome::unknown
                                  : binding_outcome::not_bound,
            now);
        for (binding_result const& one : refused)
            decided.push_back(one);
        return decided;
    }
    shard.write_ = content->text();
    shard.phase_ = batch_phase::writing;
    due_.set(number, now);
    return decided;
}

std::vector<binding_result>
key_binder::give_up(std::size_t number, binding_outcome outcome, absl::Time now)
{
    std::vector<binding_result> decided;
    for (binding_request const& request : shards_[number].batch_)
        decided.push_back({request.call_, outcome, std::nullopt});
    finish_batch(number, now);
    return decided;
}

void key_binder::finish_batch(std::size_t number, absl::Time now)
{
    std::list<binding_request> const waiting =
        std::move(shards_[number].waiting_);
    shards_.erase(number);
    for (binding_request const& request : waiting)
        bind(request, now);
}

absl::Time key_binder::next_deadline() const
{
    return due_.next();
}

object_name key_binder::name_of(std::size_t number) const
{
    return object_name("bindings/" + std::to_string(number));
}

} // namespace samphire
