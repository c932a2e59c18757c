#pragma once

#include "base/random_source.hpp"
#include "forwarding/virtual_daemon.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace samphire
{

/// Simulates several daemons of one service in virtual time, with links that
/// break, daemons that are killed and answers that are lost.
class virtual_site
{
public:
    using daemon = virtual_daemon<virtual_site>;

    struct request_outcome
    {
        request_kind kind_{};
        unsigned runs_{};
        unsigned answers_{};
        std::uint16_t status_{};
        bool client_left_{};
        absl::Duration latency_{};
        absl::Time sent_at_{};
    };

    virtual_site(std::uint64_t seed, std::size_t daemons, std::uint32_t slots);

    void request(request_kind kind, absl::Duration timeout);
    void advance(absl::Duration step);
    /// Breaks the connection between two daemons, which is established again
    /// after a random time.
    void break_link(std::size_t from, std::size_t to);
    /// Kills a daemon's process and starts a new one in its place.
    void restart(std::size_t index);
    /// Stops a daemon's process as planned and starts a new one in its place.
    void stop(std::size_t index);
    void lose_next_answer()
    {
        ++answers_to_lose_;
    }
    void disconnect_client(std::uint64_t token);

    // Called by the simulated daemons, as their sinks.
    void run(daemon& at, execute_order const& order, absl::Duration left);
    void abort(daemon& at, execution_key key);
    bool reply(daemon& from, execute_result const& result);
    void probe_upstream(daemon& at);
    bool send(daemon& from, endpoint to, relay_message message);
    void answer(client_token token, client_answer const& answer);

    random_source& random()
    {
        return random_;
    }

    absl::Time now() const
    {
        return now_;
    }

    std::map<std::uint64_t, request_outcome> const& outcomes() const
    {
        return outcomes_;
    }

    /// Returns the highest number of requests that ran at one upstream at the
    /// same time.
    std::size_t peak_running_executions() const
    {
        return peak_running_executions_;
    }

    /// Returns the number of requests that had no answer when the process of
    /// their entry ended as planned.
    std::size_t unanswered_at_stop() const
    {
        return unanswered_at_stop_;
    }

    std::size_t size() const
    {
        return daemons_.size();
    }

private:
    using task = std::function<void()>;

    struct link
    {
        std::uint64_t epoch_{};
        bool is_up_{true};
        absl::Time last_arrival_{};
    };

    void schedule(absl::Time when, task what);
    void deliver(
        std::size_t from,
        std::size_t to,
        std::uint64_t incarnation_from,
        std::uint64_t incarnation_to,
        relay_message message);
    void reconnect(std::size_t from, std::size_t to);
    void configure(daemon& target);
    std::size_t index_of(endpoint address) const;
    daemon* find(std::uint64_t incarnation);

    random_source random_;
    absl::Time now_{absl::UnixEpoch() + absl::Hours(1)};
    std::uint32_t const slots_;
    std::multimap<absl::Time, task> tasks_;
    std::vector<std::unique_ptr<daemon>> daemons_;
    std::map<std::pair<std::size_t, std::size_t>, link> links_;
    std::map<std::uint64_t, request_outcome> outcomes_;
    std::map<std::uint64_t, std::size_t> entries_by_token_;
    std::map<execution_key, std::size_t> running_daemon_indexes_;
    std::vector<std::size_t> running_counts_by_daemon_;
    std::size_t peak_running_executions_{};
    std::uint64_t last_token_{};
    std::uint64_t last_incarnation_{};
    unsigned answers_to_lose_{};
    std::size_t unanswered_at_stop_{};
};

} // namespace samphire
