#pragma once

#include "base/uniform_draw.hpp"

#include <algorithm>
#include <utility>

// Member functions of store_session for a store that comes back from a copy. It
// has lost its last changes and gives their revisions out again.

namespace samphire
{

template <class Sink>
bool store_session<Sink>::has_new_era(store_outcome const& outcome)
{
    // An answer that states no readable era tells nothing about it.
    if (outcome.store_era_ == 0)
        return false;
    std::uint64_t const previous =
        std::exchange(store_era_, outcome.store_era_);
    return previous != 0 && previous != store_era_;
}

template <class Sink>
void store_session<Sink>::on_restored(std::uint64_t ended_call, absl::Time now)
{
    watched_revision_ = 0;
    last_answered_revision_ = 0;
    if (is_watch_in_progress() && policy_call_number_ != ended_call)
    {
        policy_call_number_ = 0;
        policy_due_ = now;
    }
    if (!list_after_name_.empty())
    {
        partial_list_.clear();
        unreadable_own_revision_ = 0;
        list_after_name_.clear();
        list_call_number_ = 0;
        list_due_ = now;
    }
    // Before the first fresh list nothing is known of the object, and that list
    // is still to come.
    if (has_read_fresh_upstream_list_)
    {
        is_own_object_known_ = false;
        own_object_call_number_ = 0;
        own_object_check_due_ = now + next_own_object_check_delay();
    }
    sink_.on_store_restored(store_era_);
}

template <class Sink>
absl::Duration store_session<Sink>::next_own_object_check_delay()
{
    // The store may be the only holder of a departure besides this process.
    bool const is_urgent =
        desired_record_ && desired_record_->phase_ == upstream_phase::leaving;
    if (is_urgent)
        return absl::ZeroDuration();
    absl::Duration const range = absl::Seconds(
        static_cast<double>(listed_object_count_) /
        times_.max_object_checks_per_second_);
    return range * uniform_draw(random_);
}

template <class Sink>
bool store_session<Sink>::can_check_own_object() const
{
    // A fresh list shows the object as well.
    return own_object_call_number_ == 0 && write_call_number_ == 0 &&
           !fresh_list_needed_;
}

template <class Sink>
void store_session<Sink>::start_own_object_check(absl::Time)
{
    own_object_check_due_ = absl::InfiniteFuture();
    own_object_call_number_ = ++last_call_number_;
    submit(
        own_object_call_number_,
        {.action_ = store_action::read_upstream, .name_ = own_object_name_});
}

template <class Sink>
void store_session<Sink>::on_own_object_outcome(
    store_outcome const& outcome, absl::Time now)
{
    bool const is_read = outcome.status_ == store_status::done ||
                         outcome.status_ == store_status::missing;
    if (!is_read)
    {
        own_object_check_due_ = now + write_backoff_.next_pause(random_);
        return;
    }
    is_own_object_known_ = true;
    own_record_revision_ = outcome.object_revision_;
    stored_record_ =
        outcome.upstreams_.empty()
            ? std::nullopt
            : std::optional<upstream_record>(outcome.upstreams_[0].record_);
    // Other daemons find this one by its object, even before an upstream is
    // known.
    bool const must_write =
        desired_record_ && stored_record_ != desired_record_ &&
        (own_record_revision_ == 0 || !desired_record_->id_.empty());
    if (must_write)
        write_due_ = std::min(write_due_, now);
    tick(now);
}

} // namespace samphire
