#pragma once

#include "base/bounded_ring.hpp"
#include "base/deadline_queue.hpp"
#include "base/monotonic_clock.hpp"
#include "http/http_client.hpp"
#include "upstream/load_history.hpp"
#include "upstream/request_in_progress.hpp"
#include "upstream/restartable_server.hpp"
#include "upstream/run_counts.hpp"
#include "upstream/service_time_model.hpp"
#include "upstream/upstream_event.hpp"
#include "upstream/upstream_settings.hpp"
#include "upstream/work_counters.hpp"

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <string>

namespace samphire::standin
{

/// Stand-in for an upstream. A request holds a slot for its service time and
/// then for its child calls, which go through the daemon on the same VM one
/// after another. The answer has the body of the request.
class upstream_server
{
public:
    explicit upstream_server(upstream_settings settings);

    void run_server();
    void run_client();
    /// Runs the loop of the work thread until stop(). This thread runs the
    /// requests and sends announcements.
    void run_work();
    void stop();

    endpoint address() const
    {
        return server_.address();
    }

    void on_request(request_token token, http_request const& request);
    void on_client_disconnected(request_token token);
    void on_response(request_token token, http_response const& response);
    void on_failure(request_token token, http_client_error error);

private:
    void handle(request_arrived const& arrived, absl::Time now);
    void handle(request_abandoned const& abandoned, absl::Time now);
    void handle(call_ended const& ended, absl::Time now);
    void apply_control(request_token token, http_request const& request);
    void crash(absl::Time now);
    void start_waiting_requests(absl::Time now);
    void advance_request(request_token token, absl::Time now);
    void expire_request(request_token token, absl::Time now);
    void answer_request(request_token token, http_response const& response);
    /// Ends a request without an answer and counts the service time that the
    /// request has had so far as wasted.
    void drop_request(request_token token, absl::Time now);
    void announce(absl::Time now);
    void post_to_daemon(std::string path, std::string body);

    upstream_settings const settings_;
    monotonic_clock const clock_;
    bounded_ring<upstream_event> events_;
    restartable_server<upstream_server> server_;
    http_client<upstream_server> client_;
    run_counts run_counts_;
    work_counters counters_;
    std::atomic<bool> stopping_{};

    // Only the work thread uses the members below.
    service_time_model service_times_;
    load_history load_history_;
    std::deque<request_token> waiting_requests_;
    absl::flat_hash_map<request_token, request_in_progress> requests_;
    std::size_t running_executions_{};
    deadline_queue<request_token> service_ends_;
    deadline_queue<request_token> deadlines_;
    absl::Time down_until_{absl::InfinitePast()};
    absl::Time next_announcement_{absl::InfinitePast()};
    std::uint64_t posts_to_daemon_{};
};

} // namespace samphire::standin
