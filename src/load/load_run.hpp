#pragma once

#include "base/deadline_queue.hpp"
#include "base/monotonic_clock.hpp"
#include "base/random_source.hpp"
#include "http/http_client.hpp"
#include "load/attempt_result_handler.hpp"
#include "load/load_call.hpp"
#include "load/load_plan.hpp"
#include "load/progress_line.hpp"
#include "load/recovery_record.hpp"
#include "load/route_record.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <random>
#include <vector>

namespace samphire
{

/// Runs an open-loop load: each call starts at its planned time, whether or not
/// earlier calls have been answered.
class load_run
{
public:
    load_run(load_plan plan, progress_line& progress);

    /// Runs the loop of the HTTP client until run_calls() ends.
    void run_client()
    {
        client_.run();
    }

    /// Sends the calls and collects their answers, then ends the client's loop.
    void run_calls();

    std::vector<route_record> const& records() const
    {
        return records_;
    }

    recovery_record const& recovery() const
    {
        return recovery_;
    }

private:
    void start_call(absl::Duration planned_arrival);
    void send_attempt(std::uint64_t call_number);
    outgoing_request
    write_request(std::uint64_t call_number, load_call const& call);
    void handle_result(attempt_result const& result);
    void finish_call(
        std::uint64_t call_number, load_outcome outcome, absl::Time ended_at);
    bool is_counted(load_call const& call) const;
    void report_progress(absl::Time now);

    load_plan const plan_;
    progress_line& progress_;
    monotonic_clock const clock_;
    attempt_result_handler results_;
    http_client<attempt_result_handler> client_;
    random_source random_;
    std::discrete_distribution<std::size_t> route_distribution_;
    absl::Time start_time_{};
    std::uint64_t started_calls_{};
    std::uint64_t whole_answers_{};
    absl::flat_hash_map<std::uint64_t, load_call> calls_;
    deadline_queue<std::uint64_t> resends_;
    absl::Time next_progress_report_time_{absl::InfinitePast()};
    std::vector<route_record> records_;
    recovery_record recovery_;
};

} // namespace samphire
