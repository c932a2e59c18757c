#pragma once

#include "base/uniform_draw.hpp"

#include <algorithm>
#include <utility>

// Member functions of store_session that read the list of upstreams.

namespace samphire
{

template <class Sink>
void store_session<Sink>::start_list_call(absl::Time)
{
    list_due_ = absl::InfiniteFuture();
    list_call_number_ = ++last_call_number_;
    submit(
        list_call_number_,
        {.action_ = store_action::list_upstreams,
         .continue_after_name_ = list_after_name_,
         .stale_allowed_ = !fresh_list_needed_});
}

template <class Sink>
void store_session<Sink>::on_list_outcome(
    store_outcome const& outcome, absl::Time now)
{
    if (outcome.status_ != store_status::done)
    {
        partial_list_.clear();
        unreadable_own_revision_ = 0;
        list_after_name_.clear();
        list_due_ = now + list_backoff_.next_pause(random_);
        return;
    }
    list_backoff_.reset();
    partial_list_.insert(
        partial_list_.end(),
        outcome.upstreams_.begin(),
        outcome.upstreams_.end());
    for (object_defect const& defect : outcome.object_defects_)
    {
        if (defect.name_ == own_object_name_)
            unreadable_own_revision_ = defect.revision_;
    }
    if (outcome.has_more_ && !outcome.last_object_name_.empty())
    {
        list_after_name_ = outcome.last_object_name_;
        start_list_call(now);
        return;
    }
    list_after_name_.clear();
    bool const fresh = std::exchange(fresh_list_needed_, false);
    auto const own = std::find_if(
        partial_list_.begin(),
        partial_list_.end(),
        [&](stored_upstream const& entry)
        { return entry.name_ == own_object_name_; });
    // Only a fresh list shows the state of this daemon's object; a stale list
    // may lack a recent write.
    if (fresh)
    {
        own_record_revision_ = own == partial_list_.end()
                                   ? unreadable_own_revision_
                                   : own->revision_;
        stored_record_ = own == partial_list_.end()
                             ? std::nullopt
                             : std::optional<upstream_record>(own->record_);
        // No object is written before the first fresh list is read.
        is_own_object_known_ = true;
        own_object_check_due_ = absl::InfiniteFuture();
        own_object_call_number_ = 0;
        if (!std::exchange(has_read_fresh_upstream_list_, true))
            started_without_own_object_ = own_record_revision_ == 0;
    }
    else if (own == partial_list_.end() && stored_record_)
        fresh_list_needed_ = true;
    unreadable_own_revision_ = 0;
    std::vector<stored_upstream> const complete_list =
        std::exchange(partial_list_, {});
    listed_object_count_ = complete_list.size();
    sink_.on_upstreams(complete_list);
    double const draw = uniform_draw(random_);
    list_due_ =
        now + (fresh_list_needed_ ? times_.first_backoff_
                                  : current_list_period_ * (0.7 + draw));
    current_list_period_ =
        std::min(current_list_period_ * 2, times_.max_list_period_);
    if (fresh && desired_record_ && stored_record_ != desired_record_ &&
        !desired_record_->id_.empty())
        write_due_ = std::min(write_due_, now);
    tick(now);
}

} // namespace samphire
