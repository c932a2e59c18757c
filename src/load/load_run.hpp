#pragma once

#include "base/deadline_queue.hpp"
#include "base/monotonic_clock.hpp"
#include "base/random_source.hpp"
#include "http/http_client.hpp"
#include "load/attempt_results.hpp"
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

/// One run of open-loop callers: calls arrive as planned, whether or not
/// earlier ones have been answered.
class load_run
{
public:
    load_run(load_plan plan, progress_line& progress);

    void run_client()
    {
        client_.run();
    }

    /// Sends the calls and collects their answers; ends the client's loop.
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
    void start_call(absl::Duration planned);
    void send(std::uint64_t number);
    outgoing_request write_request(std::uint64_t number, load_call const& call);
    void handle(attempt_ended const& ended);
    void finish(std::uint64_t number, load_outcome outcome, absl::Time at);
    bool counted(load_call const& call) const;
    void report(absl::Time now);

    load_plan const plan_;
    progress_line& progress_;
    monotonic_clock const clock_;
    attempt_results results_;
    http_client<attempt_results> client_;
    random_source random_;
    std::discrete_distribution<std::size_t> choose_route_;
    absl::Time started_{};
    std::uint64_t calls_made_{};
    std::uint64_t whole_{};
    absl::flat_hash_map<std::uint64_t, load_call> calls_;
    deadline_queue<std::uint64_t> resends_;
    absl::Time next_report_{absl::InfinitePast()};
    std::vector<route_record> records_;
    recovery_record recovery_;
};

} // namespace samphire
