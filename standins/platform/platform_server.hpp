#pragma once

#include "base/bounded_ring.hpp"
#include "base/deadline_queue.hpp"
#include "base/monotonic_clock.hpp"
#include "base/random_source.hpp"
#include "http/http_server.hpp"
#include "platform/call_counters.hpp"
#include "platform/fault_plan.hpp"
#include "platform/object_store.hpp"
#include "platform/platform_event.hpp"
#include "platform/platform_settings.hpp"
#include "platform/rate_window.hpp"
#include "platform/waiting_watch.hpp"

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <cstdint>
#include <optional>

namespace samphire::standin
{

/// Stand-in for the platform's object API, with faults set by POST /control.
class platform_server
{
public:
    explicit platform_server(platform_settings settings);

    void run_server();
    /// Runs the loop of the store's thread until stop(). This thread owns the
    /// objects and applies the calls in the order of their arrival.
    void run_store();
    void stop();

    std::uint16_t port() const
    {
        return server_.port();
    }

    void on_request(request_token token, http_request const& request);
    void on_client_disconnected(request_token token);

private:
    void handle(request_arrived const& arrived, absl::Time now);
    void handle(request_abandoned const& abandoned, absl::Time now);
    void apply_control(request_token token, http_request const& request);
    void list_objects(request_token token, absl::Time now);
    void read_object(
        request_token token,
        object_name const& name,
        http_request const& request,
        absl::Time now);
    void write_object(
        request_token token,
        object_name const& name,
        http_request const& request,
        absl::Time now);
    void answer_watches(object_name const& name, absl::Time now);
    /// Counts the call in the window and returns true; answers the call with
    /// status 429 and returns false when the window is full.
    bool admit(rate_window& window, request_token token, absl::Time now);
    bool should_lose_answer();
    void
    respond(request_token token, http_response const& response, absl::Time now);
    void remove_watch(request_token token);

    platform_settings const settings_;
    monotonic_clock const clock_;
    bounded_ring<platform_event> events_;
    http_server<platform_server> server_;
    call_counters counters_;
    std::atomic<bool> stopping_{};

    // Only the store's thread uses the members below.
    random_source random_;
    object_store store_;
    // Faults to inject. Always set; optional only because a fault_plan cannot
    // be assigned.
    std::optional<fault_plan> faults_;
    std::uint32_t remaining_lost_answers_{};
    rate_window read_window_;
    rate_window write_window_;
    absl::flat_hash_map<request_token, waiting_watch> watches_;
    deadline_queue<request_token> watch_timeouts_;
    absl::flat_hash_map<request_token, http_response> delayed_responses_;
    deadline_queue<request_token> delayed_response_times_;
};

} // namespace samphire::standin
