#pragma once

#include "base/uniform_draw.hpp"

#include <algorithm>
#include <utility>

namespace samphire
{

template <class Sink>
void store_session<Sink>::start(absl::Time now)
{
    call_policy(now);
    call_list(now);
}

template <class Sink>
void store_session<Sink>::set_own(upstream_record const& record, absl::Time now)
{
    bool const first = !wanted_;
    wanted_ = record;
    if (stored_ == wanted_)
        return;
    bool const known = !record.id_.empty();
    if (known)
        write_due_ = std::min(write_due_, now);
    else if (first)
        write_due_ = std::min(write_due_, now + times_.first_write_);
    tick(now);
}

template <class Sink>
void store_session<Sink>::call_policy(absl::Time)
{
    policy_due_ = absl::InfiniteFuture();
    policy_call_ = ++last_number_;
    if (watched_revision_ == 0)
        sink_.submit(policy_call_, {.action_ = store_action::read_policy});
    else
        sink_.submit(
            policy_call_,
            {.action_ = store_action::watch_policy,
             .revision_ = watched_revision_,
             .wait_ = times_.watch_});
}

template <class Sink>
void store_session<Sink>::call_list(absl::Time)
{
    list_due_ = absl::InfiniteFuture();
    list_call_ = ++last_number_;
    sink_.submit(
        list_call_,
        {.action_ = store_action::list_upstreams,
         .after_ = list_after_,
         .stale_allowed_ = !fresh_list_needed_});
}

template <class Sink>
void store_session<Sink>::call_write(absl::Time)
{
    write_due_ = absl::InfiniteFuture();
    write_call_ = ++last_number_;
    writing_ = wanted_;
    sink_.submit(
        write_call_,
        {.action_ = own_revision_ == 0 ? store_action::create_upstream
                                       : store_action::replace_upstream,
         .name_ = own_name_,
         .revision_ = own_revision_,
         .record_ = *writing_});
}

template <class Sink>
void store_session<Sink>::remove(stored_upstream const& object)
{
    sink_.submit(
        ++last_number_,
        {.action_ = store_action::remove_upstream,
         .name_ = object.name_,
         .revision_ = object.revision_});
}

template <class Sink>
void store_session<Sink>::reached(store_outcome const& outcome)
{
    sink_.on_store_reachable(
        outcome.status_ != store_status::refused &&
        outcome.status_ != store_status::unknown);
}

template <class Sink>
void store_session<Sink>::on_outcome(
    std::uint64_t number, store_outcome const& outcome, absl::Time now)
{
    if (number == policy_call_)
    {
        policy_call_ = 0;
        reached(outcome);
        on_policy_outcome(outcome, now);
    }
    else if (number == list_call_)
    {
        list_call_ = 0;
        on_list_outcome(outcome, now);
    }
    else if (number == write_call_)
    {
        write_call_ = 0;
        on_write_outcome(outcome, now);
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
        if (outcome.store_revision_ > 0)
            watched_revision_ = outcome.store_revision_;
        if (outcome.policy_)
            sink_.on_policy(outcome.policy_);
        call_policy(now);
        return;
    case store_status::history_gone:
    case store_status::missing:
    case store_status::conflict:
        // What is in force stays; the whole object is read again.
        watched_revision_ = 0;
        break;
    case store_status::refused:
    case store_status::unknown:
        break;
    }
    if (outcome.status_ == store_status::history_gone)
        call_policy(now);
    else
        policy_due_ = now + policy_backoff_.next(random_);
}

template <class Sink>
void store_session<Sink>::on_list_outcome(
    store_outcome const& outcome, absl::Time now)
{
    if (outcome.status_ != store_status::done)
    {
        listing_.clear();
        list_after_.clear();
        list_due_ = now + list_backoff_.next(random_);
        return;
    }
    list_backoff_.reset();
    listing_.insert(
        listing_.end(), outcome.upstreams_.begin(), outcome.upstreams_.end());
    if (outcome.more_ && !outcome.last_name_.empty())
    {
        list_after_ = outcome.last_name_;
        call_list(now);
        return;
    }
    list_after_.clear();
    bool const fresh = std::exchange(fresh_list_needed_, false);
    auto const own = std::find_if(
        listing_.begin(),
        listing_.end(),
        [&](stored_upstream const& entry) { return entry.name_ == own_name_; });
    // A stale list may lack what was written a moment ago.
    if (fresh)
    {
        own_revision_ = own == listing_.end() ? 0 : own->revision_;
        stored_ = own == listing_.end()
                      ? std::nullopt
                      : std::optional<upstream_record>(own->record_);
        listed_ = true;
    }
    else if (own == listing_.end() && stored_)
        fresh_list_needed_ = true;
    std::vector<stored_upstream> const whole = std::exchange(listing_, {});
    sink_.on_upstreams(whole);
    double const draw = uniform_draw(random_);
    list_due_ = now + (fresh_list_needed_ ? times_.first_backoff_
                                          : list_pause_ * (0.7 + draw));
    list_pause_ = std::min(list_pause_ * 2, times_.list_period_);
    if (fresh && wanted_ && stored_ != wanted_ && !wanted_->id_.empty())
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
        stored_ = writing_;
        own_revision_ = outcome.object_revision_;
        if (stored_ != wanted_)
            write_due_ = now;
        tick(now);
        return;
    case store_status::refused:
        write_due_ = now + write_backoff_.next(random_);
        return;
    case store_status::unknown:
    case store_status::conflict:
    case store_status::missing:
    case store_status::history_gone:
        // It may have been done, or may be done later under its condition:
        // the next write needs the revision that stands then.
        fresh_list_needed_ = true;
        list_due_ = now + write_backoff_.next(random_);
        return;
    }
}

template <class Sink>
void store_session<Sink>::tick(absl::Time now)
{
    if (policy_due_ <= now && policy_call_ == 0)
        call_policy(now);
    if (list_due_ <= now && list_call_ == 0)
        call_list(now);
    if (write_due_ <= now && write_call_ == 0 && listed_ && !fresh_list_needed_)
        call_write(now);
}

template <class Sink>
absl::Time store_session<Sink>::next_deadline() const
{
    absl::Time const write = listed_ && !fresh_list_needed_ && write_call_ == 0
                                 ? write_due_
                                 : absl::InfiniteFuture();
    return std::min({policy_due_, list_due_, write});
}

} // namespace samphire
