#pragma once

#include "base/bounded_ring.hpp"
#include "base/deadline_queue.hpp"
#include "base/monotonic_clock.hpp"
#include "http/http_client.hpp"
#include "http/http_server.hpp"
#include "settings/setting_values.hpp"
#include "upstream/upstream_event.hpp"
#include "upstream/upstream_work.hpp"

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace samphire::standin
{

/// Stand-in of an upstream: runs each request in a slot for a fixed time, then
/// makes its calls through the daemon on its VM, one after the other, and
/// answers with the request's own body. Counts the runs of each body.
class upstream_server
{
public:
    explicit upstream_server(setting_values const& settings);

    void run_server();
    void run_client();
    /// Runs the work and the announcements.
    void run_work();
    void stop();

    void on_request(request_token token, http_request const& request);
    void on_abandoned(request_token token);
    void on_response(request_token token, http_response const& response);
    void on_failure(request_token token, http_client_error error);

private:
    void handle(upstream_event const& happened, absl::Time now);
    void start_waiting(absl::Time now);
    void advance(request_token token, absl::Time now);
    void finish(request_token token, http_response const& response);
    void announce(absl::Time now);
    std::string runs_page() const;

    std::string const service_;
    endpoint const address_;
    endpoint const daemon_;
    std::size_t const slots_;
    absl::Duration const service_time_;
    std::vector<std::string> const calls_;
    monotonic_clock const clock_;
    bounded_ring<upstream_event> events_;
    http_server<upstream_server> server_;
    http_client<upstream_server> client_;
    std::deque<request_token> waiting_;
    absl::flat_hash_map<request_token, upstream_work> work_;
    std::size_t running_{};
    deadline_queue<request_token> timers_;
    absl::Time next_announcement_{absl::InfinitePast()};
    std::uint64_t announcements_{};
    std::atomic<bool> stopping_{};
    std::mutex mutable runs_mutex_;
    /// Runs by route and body.
    std::map<std::string, std::uint64_t> runs_;
};

} // namespace samphire::standin
