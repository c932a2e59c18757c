#pragma once

// Member functions of store_session by which a daemon that watches the policy
// notices that it no longer reaches the store.

namespace samphire
{

template <class Sink>
bool store_session<Sink>::is_watch_in_progress() const
{
    return policy_call_number_ != 0 && policy_call_revision_ > 0;
}

template <class Sink>
absl::Time store_session<Sink>::next_access_check_deadline() const
{
    return is_watching_ && is_watch_in_progress() ? access_check_due_
                                                  : absl::InfiniteFuture();
}

template <class Sink>
void store_session<Sink>::start_access_check(absl::Time now)
{
    access_check_number_ = ++last_call_number_;
    access_check_due_ = now + times_.access_check_timeout_;
    submit(
        access_check_number_,
        {.action_ = store_action::check_access, .name_ = own_object_name_});
}

template <class Sink>
void store_session<Sink>::on_access_check_outcome(
    store_outcome const& outcome, absl::Time now)
{
    access_check_due_ = now + times_.access_check_interval_;
    bool const is_answered = outcome.status_ != store_status::refused &&
                             outcome.status_ != store_status::unknown;
    if (!is_answered && is_watch_in_progress())
        on_access_lost(now);
}

template <class Sink>
void store_session<Sink>::on_access_lost(absl::Time now)
{
    access_check_number_ = 0;
    policy_call_number_ = 0;
    watched_revision_ = 0;
    last_call_was_lost_ = true;
    policy_due_ = now + policy_backoff_.next_pause(random_);
    sink_.on_store_reachable(false);
}

} // namespace samphire
