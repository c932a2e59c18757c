#pragma once

#include "base/random_source.hpp"
#include "store/call_backoff.hpp"
#include "store/store_outcome.hpp"
#include "store/store_sink.hpp"
#include "store/store_times.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphire
{

/// Decides when the store is called: watches the policy, refreshes the list of
/// upstreams and keeps this daemon's own object up to date. Handles a store
/// that is down or slow, has dropped its history, refuses this machine or loses
/// answers.
template <class Sink>
class store_session
{
public:
    store_session(
        store_times times,
        std::string own_object_name,
        random_source& random,
        Sink& sink)
        : times_(times), own_object_name_(std::move(own_object_name)), random_(random),
          sink_(sink),
          policy_backoff_(times.first_backoff_, times.max_backoff_),
          list_backoff_(times.first_backoff_, times.max_backoff_),
          write_backoff_(times.first_backoff_, times.max_backoff_)
    {
        // Checked here because Sink is still incomplete where it declares its
        // session as a member.
        static_assert(store_sink<Sink>);
    }

    void start(absl::Time now);
    /// Sets the record that the own object must contain.
    void set_own_record(upstream_record const& record, absl::Time now);
    void on_outcome(
        std::uint64_t number, store_outcome const& outcome, absl::Time now);
    void tick(absl::Time now);
    absl::Time next_deadline() const;
    /// Removes another daemon's object if it still has the listed revision. The
    /// outcome is not tracked; the next list shows it.
    void remove(stored_upstream const& object);

    /// True once a complete list that is not stale has been read.
    bool listed() const
    {
        return fresh_list_read_;
    }

    /// Whether the store contains the record given to set_own_record().
    bool own_record_stored() const
    {
        return desired_record_ && stored_record_ == desired_record_;
    }

private:
    void start_policy_call(absl::Time now);
    void start_list_call(absl::Time now);
    void start_write_call(absl::Time now);
    void on_policy_outcome(store_outcome const& outcome, absl::Time now);
    void on_list_outcome(store_outcome const& outcome, absl::Time now);
    void on_write_outcome(store_outcome const& outcome, absl::Time now);
    void report_reachability(store_outcome const& outcome);

    store_times const times_;
    std::string const own_object_name_;
    random_source& random_;
    Sink& sink_;
    call_backoff policy_backoff_;
    call_backoff list_backoff_;
    call_backoff write_backoff_;
    std::uint64_t last_call_number_{};

    /// Number of the policy call in progress; zero for none.
    std::uint64_t policy_call_number_{};
    absl::Time policy_due_{absl::InfiniteFuture()};
    std::uint64_t watched_revision_{};

    /// Number of the list call in progress; zero for none.
    std::uint64_t list_call_number_{};
    absl::Time list_due_{absl::InfiniteFuture()};
    /// Entries that were read so far of a list that is longer than one answer.
    std::vector<stored_upstream> partial_list_;
    std::string list_after_name_;
    bool fresh_list_read_{};
    /// The next list must not be stale; no write starts until it is read.
    bool fresh_list_needed_{true};
    absl::Duration current_list_period_{times_.first_list_period_};

    /// Number of the write call in progress; zero for none.
    std::uint64_t write_call_number_{};
    absl::Time write_due_{absl::InfiniteFuture()};
    std::optional<upstream_record> desired_record_;
    /// Record of the write in progress.
    std::optional<upstream_record> written_record_;
    std::optional<upstream_record> stored_record_;
    std::uint64_t own_revision_{};
};

} // namespace samphire

#include "store/store_session.ipp"
