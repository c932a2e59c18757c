#pragma once

#include <algorithm>

// Member functions of store_session that keep this daemon's own object up to
// date.

namespace samphire
{

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

} // namespace samphire
