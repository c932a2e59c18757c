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
