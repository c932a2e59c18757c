#pragma once

#include "base/bounded_ring.hpp"
#include "base/deadline_queue.hpp"
#include "base/monotonic_clock.hpp"
#include "http/http_client.hpp"
#include "upstream/load_history.hpp"
#include "upstream/restartable_server.hpp"
#include "upstream/run_counts.hpp"
#include "upstream/service_time_model.hpp"
#include "upstream/upstream_event.hpp"
#include "upstream/upstream_settings.hpp"
#include "upstream/upstream_work.hpp"
#include "upstream/work_counters.hpp"

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <string>

namespace samphire::standin
{

/// Stand-in of an upstream: runs each request in a slot for its service time,
/// then makes its calls through the daemon on its VM, one after the other, and
/// answers with the request's own body.
class upstream_server
{
public:
    explicit upstream_server(upstream_settings settings);

    void run_server();
    void run_client();
    /// Runs the work and the announcements.
    void run_work();
    void stop();

    endpoint address() const
    {
        return server_.address();
    }

    void on_request(request_token token, http_request const& request);
    void on_abandoned(request_token token);
    void on_response(request_token token, http_response const& response);
    void on_failure(request_token token, http_client_error error);

private:
    void handle(request_arrived const& arrived, absl::Time now);
    void handle(request_abandoned const& abandoned, absl::Time now);
    void handle(call_ended const& ended, absl::Time now);
    void control(request_token token, http_request const& request);
    void crash(absl::Time now);
    void start_waiting(absl::Time now);
    void advance(request_token token, absl::Time now);
    void expire(request_token token, absl::Time now);
    void finish(request_token token, http_response const& response);
    /// Ends the work without an answer; its service time so far is wasted.
    void drop_work(request_token token, absl::Time now);
    void announce(absl::Time now);
    void post_to_daemon(std::string path, std::string body);

    upstream_settings const settings_;
    monotonic_clock const clock_;
    bounded_ring<upstream_event> events_;
    restartable_server<upstream_server> server_;
    http_client<upstream_server> client_;
    run_counts runs_;
    work_counters counters_;
    std::atomic<bool> stopping_{};

    // Used by the work thread only.
    service_time_model service_times_;
    load_history loads_;
    std::deque<request_token> waiting_;
    absl::flat_hash_map<request_token, upstream_work> work_;
    std::size_t running_{};
    deadline_queue<request_token> timers_;
    deadline_queue<request_token> deadlines_;
    absl::Time down_until_{absl::InfinitePast()};
    absl::Time next_announcement_{absl::InfinitePast()};
    std::uint64_t posts_{};
};

} // namespace samphire::standin
