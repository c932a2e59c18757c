#pragma once

#include "base/random_source.hpp"
#include "store/call_backoff.hpp"
#include "store/store_outcome.hpp"
#include "store/store_sink.hpp"
#include "store/store_times.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphire
{

/// Decides when this daemon calls the store: watches the operators' policy,
/// refreshes the list of upstreams and keeps this daemon's own object up to
/// date. Handles a store that is down or slow, has dropped its history, has
/// come back from a copy, or refuses this machine, and answers that are lost.
template <class Sink>
class store_session
{
public:
    store_session(
        store_times times,
        std::string own_object_name,
        random_source& random,
        Sink& sink)
        : times_(times), own_object_name_(std::move(own_object_name)),
          random_(random), sink_(sink),
          policy_backoff_(times.first_backoff_, times.max_backoff_),
          list_backoff_(times.first_backoff_, times.max_backoff_),
          write_backoff_(times.first_backoff_, times.max_backoff_)
    {
        // The concept is checked here because `Sink` is still an incomplete
        // type where it declares its store_session member.
        static_assert(store_sink<Sink>);
    }

    void start(absl::Time now);
    /// Sets the record that this daemon's object in the store must contain.
    void set_own_record(upstream_record const& record, absl::Time now);
    /// Handles the outcome of the call to the store with this number.
    void on_outcome(
        std::uint64_t number, store_outcome const& outcome, absl::Time now);
    void tick(absl::Time now);
    absl::Time next_deadline() const;
    /// Sets whether this daemon watches the policy. One that does not relies
    /// on other daemons for news, and reads the policy now and then.
    void set_watching(bool watching, absl::Time now);
    /// Removes another daemon's object if it still has the listed revision. The
    /// outcome of the removal is not tracked; the next list shows whether the
    /// object remains.
    void remove_object(stored_upstream const& object);

    /// Whether a complete list of upstreams that is not stale has been read.
    bool has_read_fresh_upstream_list() const
    {
        return has_read_fresh_upstream_list_;
    }

    /// Whether the first such list contained no object of this daemon, which
    /// an earlier process of the daemon would have written.
    bool started_without_own_object() const
    {
        return started_without_own_object_;
    }

    /// Whether the store contains the record given to set_own_record().
    bool is_own_record_stored() const
    {
        return desired_record_ && is_own_object_known_ &&
               stored_record_ == desired_record_;
    }

private:
    void start_policy_call(absl::Time now);
    void start_list_call(absl::Time now);
    void start_write_call(absl::Time now);
    void start_own_object_check(absl::Time now);
    bool is_watch_in_progress() const;
    /// Starts a check, which shows whether the store still answers while a
    /// watch waits.
    void start_access_check(absl::Time now);
    void on_access_check_outcome(store_outcome const& outcome, absl::Time now);
    /// Gives up the watch in progress, which will not report a change.
    void on_access_lost(absl::Time now);
    /// Returns the time of the next step of the access checks.
    absl::Time next_access_check_deadline() const;
    bool can_write() const;
    /// Whether the write would replace an upstream in the store with none.
    bool would_forget_upstream() const;
    bool can_check_own_object() const;
    /// Notes the era that an answer states; returns true when it differs from
    /// the era of the answers before.
    bool has_new_era(store_outcome const& outcome);
    /// Forgets all revisions, which belong to an earlier era of the store, and
    /// abandons the calls that depend on them. `ended_call`: number of the call
    /// whose answer stated the new era.
    void on_restored(std::uint64_t ended_call, absl::Time now);
    /// Returns the time after which this daemon checks its object in a store
    /// that has come back, so that all daemons keep within the rate.
    absl::Duration next_own_object_check_delay();
    absl::Duration next_watch_duration();
    absl::Duration next_unwatched_pause();
    /// Starts the call; it avoids open connections after a lost call.
    void submit(std::uint64_t number, store_operation operation);
    void on_policy_outcome(store_outcome const& outcome, absl::Time now);
    void set_watched_revision(store_outcome const& outcome);
    void on_list_outcome(store_outcome const& outcome, absl::Time now);
    void on_write_outcome(store_outcome const& outcome, absl::Time now);
    void on_own_object_outcome(store_outcome const& outcome, absl::Time now);
    void report_reachability(store_outcome const& outcome);

    store_times const times_;
    std::string const own_object_name_;
    random_source& random_;
    Sink& sink_;
    call_backoff policy_backoff_;
    call_backoff list_backoff_;
    call_backoff write_backoff_;
    std::uint64_t last_call_number_{};
    /// Era of the store to which all revisions that are kept here belong; 0
    /// until an answer has stated one.
    std::uint64_t store_era_{};
    /// Whether the last call that ended was lost, so that other connections to
    /// the store may be dead as well.
    bool last_call_was_lost_{};

    /// Number of the call in progress that reads or watches the policy; zero
    /// for none.
    std::uint64_t policy_call_number_{};
    /// Revision after which that call watches the policy; 0 when it reads it.
    std::uint64_t policy_call_revision_{};
    bool is_watching_{true};
    /// Whether the policy has been read from the store since the start.
    bool has_read_policy_{};
    absl::Time policy_due_{absl::InfiniteFuture()};
    /// Revision of the store after which the policy is watched; 0 when the
    /// complete policy must be read.
    std::uint64_t watched_revision_{};
    /// Revision of the store in the last answer to a call for the policy.
    std::uint64_t last_answered_revision_{};

    /// Number of the access check in progress; zero for none.
    std::uint64_t access_check_number_{};
    /// Time at which the next access check starts, or the one in progress has
    /// taken too long.
    absl::Time access_check_due_{absl::InfiniteFuture()};

    /// Number of the call in progress that lists upstreams; zero for none.
    std::uint64_t list_call_number_{};
    absl::Time list_due_{absl::InfiniteFuture()};
    /// Objects read so far of a list of upstreams that is longer than one
    /// answer.
    std::vector<stored_upstream> partial_list_;
    /// Revision of this daemon's object when another writer has made that
    /// object unreadable, as far as the list was read; 0 otherwise. The next
    /// write of the object replaces that revision.
    std::uint64_t unreadable_own_revision_{};
    /// Name of the object after which the next call that lists upstreams
    /// continues; empty at the beginning.
    std::string list_after_name_;
    bool has_read_fresh_upstream_list_{};
    bool started_without_own_object_{};
    /// Whether the next list of upstreams must not be stale. No write starts
    /// until that list is read.
    bool fresh_list_needed_{true};
    absl::Duration current_list_period_{times_.first_list_period_};
    /// Number of objects in the last complete list.
    std::size_t listed_object_count_{};

    /// Number of the call in progress that writes this daemon's object; zero
    /// for none.
    std::uint64_t write_call_number_{};
    absl::Time write_due_{absl::InfiniteFuture()};
    std::optional<upstream_record> desired_record_;
    /// Record that the write in progress stores.
    std::optional<upstream_record> record_being_written_;
    std::optional<upstream_record> stored_record_;
    /// Revision of this daemon's object in the store; 0 when there is none.
    std::uint64_t own_record_revision_{};
    /// Whether `stored_record_` and `own_record_revision_` belong to the
    /// present era of the store. No write starts until they do.
    bool is_own_object_known_{true};
    /// Number of the call in progress that reads this daemon's object; zero for
    /// none.
    std::uint64_t own_object_call_number_{};
    absl::Time own_object_check_due_{absl::InfiniteFuture()};
};

} // namespace samphire

#include "store/store_session.ipp"
#include "store/store_session_access.ipp"
#include "store/store_session_list.ipp"
#include "store/store_session_restore.ipp"
#include "store/store_session_write.ipp"
