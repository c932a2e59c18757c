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

/// Decides when the store is called: keeps the policy watched, the list of
/// upstreams fresh and the own object true. Answers a store that is down,
/// slow, forgets its history, refuses this machine or loses answers.
template <class Sink>
class store_session
{
public:
    store_session(
        store_times times,
        std::string own_name,
        random_source& random,
        Sink& sink)
        : times_(times), own_name_(std::move(own_name)), random_(random),
          sink_(sink),
          policy_backoff_(times.first_backoff_, times.longest_backoff_),
          list_backoff_(times.first_backoff_, times.longest_backoff_),
          write_backoff_(times.first_backoff_, times.longest_backoff_)
    {
        // The sink is complete here, but not yet where it holds the session.
        static_assert(store_sink<Sink>);
    }

    void start(absl::Time now);
    /// The own object is to hold this.
    void set_own(upstream_record const& record, absl::Time now);
    void on_outcome(
        std::uint64_t number, store_outcome const& outcome, absl::Time now);
    void tick(absl::Time now);
    absl::Time next_deadline() const;
    /// Removes another daemon's object, if it is still as it was listed. An
    /// outcome that is lost shows in the next list.
    void remove(stored_upstream const& object);

    /// The list has been read whole at least once.
    bool listed() const
    {
        return listed_;
    }

    /// The store holds what set_own() asked for.
    bool own_stored() const
    {
        return wanted_ && stored_ == wanted_;
    }

private:
    void call_policy(absl::Time now);
    void call_list(absl::Time now);
    void call_write(absl::Time now);
    void on_policy_outcome(store_outcome const& outcome, absl::Time now);
    void on_list_outcome(store_outcome const& outcome, absl::Time now);
    void on_write_outcome(store_outcome const& outcome, absl::Time now);
    void reached(store_outcome const& outcome);

    store_times const times_;
    std::string const own_name_;
    random_source& random_;
    Sink& sink_;
    call_backoff policy_backoff_;
    call_backoff list_backoff_;
    call_backoff write_backoff_;
    std::uint64_t last_number_{};

    std::uint64_t policy_call_{};
    absl::Time policy_due_{absl::InfiniteFuture()};
    std::uint64_t watched_revision_{};

    std::uint64_t list_call_{};
    absl::Time list_due_{absl::InfiniteFuture()};
    std::vector<stored_upstream> listing_;
    std::string list_after_;
    bool listed_{};
    bool fresh_list_needed_{true};
    absl::Duration list_pause_{times_.first_list_period_};

    std::uint64_t write_call_{};
    absl::Time write_due_{absl::InfiniteFuture()};
    std::optional<upstream_record> wanted_;
    std::optional<upstream_record> writing_;
    std::optional<upstream_record> stored_;
    std::uint64_t own_revision_{};
};

} // namespace samphire

#include "store/store_session.ipp"
