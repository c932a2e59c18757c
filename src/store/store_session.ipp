#pragma once

#include "base/uniform_draw.hpp"

#include <algorithm>
#include <utility>

namespace samphire
{

template <class Sink>
void store_session<Sink>::start(absl::Time now)
{
    start_policy_call(now);
    start_list_call(now);
}

template <class Sink>
void store_session<Sink>::set_own_record(
    upstream_record const& record, absl::Time now)
{
    bool const is_first_record = !desired_record_;
    desired_record_ = record;
    if (stored_record_ == desired_record_)
        return;
    bool const has_id = !record.id_.empty();
    if (has_id && !is_own_object_known_)
        own_object_check_due_ = std::min(own_object_check_due_, now);
    else if (has_id)
        write_due_ = std::min(write_due_, now);
    else if (is_first_record)
        write_due_ = std::min(write_due_, now + times_.first_write_delay_);
    tick(now);
}

template <class Sink>
void store_session<Sink>::start_policy_call(absl::Time now)
{
    policy_due_ = absl::InfiniteFuture();
    policy_call_number_ = ++last_call_number_;
    bool const is_watch = is_watching_ && watched_revision_ > 0;
    policy_call_revision_ = is_watch ? watched_revision_ : 0;
    if (is_watch && access_check_number_ == 0)
        access_check_due_ = now + times_.access_check_interval_;
    if (has_read_policy_ && !is_watching_)
        submit(
            policy_call_number_,
            {.action_ = store_action::read_policy, .stale_allowed_ = true});
    else if (!is_watch)
        submit(policy_call_number_, {.action_ = store_action::read_policy});
    else
        submit(
            policy_call_number_,
            {.action_ = store_action::watch_policy,
             .revision_ = watched_revision_,
             .max_watch_duration_ = next_watch_duration()});
}

template <class Sink>
void store_session<Sink>::set_watching(bool watching, absl::Time now)
{
    if (std::exchange(is_watching_, watching) == watching || !watching)
        return;
    // Changes since the last read may have been missed.
    watched_revision_ = 0;
    if (policy_call_number_ == 0)
        policy_due_ = now;
    tick(now);
}

/// Returns a random duration, since a change ends the watches of all daemons at
/// the same time: daemons that renew theirs at different times notice a lost
/// change for each other.
template <class Sink>
absl::Duration store_session<Sink>::next_watch_duration()
{
    if (last_call_was_lost_)
        return times_.probe_watch_timeout_;
    absl::Duration const range =
        times_.max_watch_timeout_ - times_.min_watch_timeout_;
    return times_.min_watch_timeout_ + range * uniform_draw(random_);
}

template <class Sink>
absl::Duration store_session<Sink>::next_unwatched_pause()
{
    absl::Duration const range =
        times_.max_unwatched_period_ - times_.min_unwatched_period_;
    return times_.min_unwatched_period_ + range * uniform_draw(random_);
}

template <class Sink>
void store_session<Sink>::submit(
    std::uint64_t number, store_operation operation)
{
    operation.fresh_connection_ = last_call_was_lost_;
    sink_.submit(number, operation);
}

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
void store_session<Sink>::start_write_call(absl::Time)
{
    write_due_ = absl::InfiniteFuture();
    write_call_number_ = ++last_call_number_;
    record_being_written_ = desired_record_;
    submit(
        write_call_number_,
        {.action_ = own_record_revision_ == 0 ? store_action::create_upstream
                                              : store_action::replace_upstream,
         .name_ = own_object_name_,
         .revision_ = own_record_revision_,
         .record_ = *record_being_written_});
}

template <class Sink>
void store_session<Sink>::remove_object(stored_upstream const& object)
{
    submit(
        ++last_call_number_,
        {.action_ = store_action::remove_upstream,
         .name_ = object.name_,
         .revision_ = object.revision_});
}

template <class Sink>
void store_session<Sink>::report_reachability(store_outcome const& outcome)
{
    sink_.on_store_reachable(
        outcome.status_ != store_status::refused &&
        outcome.status_ != store_status::unknown);
}

template <class Sink>
void store_session<Sink>::on_outcome(
    std::uint64_t number, store_outcome const& outcome, absl::Time now)
{
    last_call_was_lost_ = outcome.status_ == store_status::unknown;
    if (has_new_era(outcome))
        on_restored(number, now);
    if (number == policy_call_number_)
    {
        policy_call_number_ = 0;
        report_reachability(outcome);
        on_policy_outcome(outcome, now);
    }
    else if (number == list_call_number_)
    {
        list_call_number_ = 0;
        on_list_outcome(outcome, now);
    }
    else if (number == write_call_number_)
    {
        write_call_number_ = 0;
        on_write_outcome(outcome, now);
    }
    else if (number == access_check_number_)
    {
        access_check_number_ = 0;
        on_access_check_outcome(outcome, now);
    }
    else if (number == own_object_call_number_)
    {
        own_object_call_number_ = 0;
        on_own_object_outcome(outcome, now);
    }
}

template <class Sink>
void store_session<Sink>::on_policy_outcome(
    store_outcome const& outcome, absl::Time now)
{
    switch (outcome.status_)
    {
    case store_status::done:
        policy_backoff_.reset();
        has_read_policy_ = true;
        if (is_watching_)
            set_watched_revision(outcome);
        if (outcome.policy_)
            sink_.on_policy(outcome.policy_);
        if (is_watching_)
            start_policy_call(now);
        else
            policy_due_ = now + next_unwatched_pause();
        return;
    case store_status::history_gone:
    case store_status::missing:
    case store_status::conflict:
    case store_status::refused:
        // Revision 0 makes the next call read the complete policy, since a
        // store that refused calls may come back from a copy. The policy in use
        // is kept until that call succeeds.
        watched_revision_ = 0;
        break;
    case store_status::unknown:
        break;
    }
    if (outcome.status_ == store_status::history_gone)
        start_policy_call(now);
    else
        policy_due_ = now + policy_backoff_.next_pause(random_);
}

/// Sets the revision for the next watch. An answer without a policy may lack a
/// change that is older than its revision, so the next watch starts at the
/// revision of the answer before. A watch whose revision has become invalid
/// while it waited may lack any change.
template <class Sink>
void store_session<Sink>::set_watched_revision(store_outcome const& outcome)
{
    bool const is_watch = policy_call_revision_ > 0;
    bool const is_outdated =
        is_watch && watched_revision_ != policy_call_revision_;
    bool const has_defect =
        is_watch && !outcome.policy_ && !outcome.object_defects_.empty();
    if (is_outdated || has_defect)
    {
        // Reads the complete policy; a read with a defect is not repeated.
        watched_revision_ = 0;
        return;
    }
    if (outcome.store_revision_ == 0)
        return;
    std::uint64_t const previous =
        std::exchange(last_answered_revision_, outcome.store_revision_);
    bool const may_lack_change = is_watch && !outcome.policy_;
    watched_revision_ = may_lack_change ? previous : outcome.store_revision_;
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

template <class Sink>
void store_session<Sink>::on_write_outcome(
    store_outcome const& outcome, absl::Time now)
{
    switch (outcome.status_)
    {
    case store_status::done:
        write_backoff_.reset();
        stored_record_ = record_being_written_;
        own_record_revision_ = outcome.object_revision_;
        if (outcome.store_era_ == store_era_)
        {
            is_own_object_known_ = true;
            own_object_check_due_ = absl::InfiniteFuture();
        }
        if (stored_record_ != desired_record_)
            write_due_ = now;
        tick(now);
        return;
    case store_status::refused:
        write_due_ = now + write_backoff_.next_pause(random_);
        return;
    case store_status::unknown:
    case store_status::conflict:
    case store_status::missing:
    case store_status::history_gone:
        // The write may have taken effect, or may still take effect while the
        // object has the expected revision, so the present revision of the
        // object is read before the next write.
        fresh_list_needed_ = true;
        list_due_ = now + write_backoff_.next_pause(random_);
        return;
    }
}

template <class Sink>
void store_session<Sink>::tick(absl::Time now)
{
    if (next_access_check_deadline() <= now)
    {
        if (access_check_number_ == 0)
            start_access_check(now);
        else
            on_access_lost(now);
    }
    if (policy_due_ <= now && policy_call_number_ == 0)
        start_policy_call(now);
    if (list_due_ <= now && list_call_number_ == 0)
        start_list_call(now);
    if (own_object_check_due_ <= now && can_check_own_object())
        start_own_object_check(now);
    if (write_due_ <= now && can_write())
        start_write_call(now);
}

/// An object with an upstream tells a later process of this daemon more than
/// one without, which is written only to make the daemon known.
template <class Sink>
bool store_session<Sink>::would_forget_upstream() const
{
    return desired_record_ && desired_record_->id_.empty() && stored_record_ &&
           !stored_record_->id_.empty();
}

template <class Sink>
bool store_session<Sink>::can_write() const
{
    return write_call_number_ == 0 && has_read_fresh_upstream_list_ &&
           !fresh_list_needed_ && is_own_object_known_ &&
           !would_forget_upstream();
}

template <class Sink>
absl::Time store_session<Sink>::next_deadline() const
{
    absl::Time const write = can_write() ? write_due_ : absl::InfiniteFuture();
    absl::Time const check =
        can_check_own_object() ? own_object_check_due_ : absl::InfiniteFuture();
    return std::min(
        {policy_due_, list_due_, write, check, next_access_check_deadline()});
}

} // namespace samphire
