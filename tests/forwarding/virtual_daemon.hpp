#pragma once

#include "forwarding/crash_register.hpp"
#include "forwarding/least_wait_placement.hpp"
#include "forwarding/request_entry.hpp"
#include "forwarding/upstream_directory.hpp"
#include "forwarding/upstream_guard.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace samphire
{

/// Entry and guard of one daemon without sockets. `Site` delivers the messages
/// and runs the executions.
template <class Site>
class virtual_daemon
{
public:
    virtual_daemon(
        endpoint address,
        std::uint64_t incarnation,
        std::uint32_t slots,
        random_source& random,
        Site& world)
        : address_(address), incarnation_(incarnation), site_(world),
          guard_({}, *this), entry_(
                                 {},
                                 incarnation,
                                 service_name("caller"),
                                 "a",
                                 directory_,
                                 retry_allowance(0.2, 4, absl::Seconds(10)),
                                 crashes_,
                                 least_wait_placement(),
                                 random,
                                 *this)
    {
        record_ = {
            .daemon_ = address,
            .id_ = upstream_id(address.text()),
            .start_time_ms_ = static_cast<std::int64_t>(incarnation),
            .service_ = service_name("slots"),
            .zone_ = "a",
            .slots_ = slots,
            .phase_ = upstream_phase::ready};
    }

    // Functions that guard_sink requires.
    void start(
        execute_order const& order, upstream_record const&, absl::Duration left)
    {
        site_.run(*this, order, left);
    }

    bool withdraw(execution_key)
    {
        return false;
    }

    void abort(execution_key key)
    {
        site_.abort(*this, key);
    }

    bool reply(execute_result const& result)
    {
        return site_.reply(*this, result);
    }

    void on_upstream_leaving()
    {
    }

    void probe_upstream()
    {
        site_.probe_upstream(*this);
    }

    std::optional<running_parent>
    find_running_execution(attempt_id const& attempt) const
    {
        return guard_.find_running_execution(attempt);
    }

    void on_call_ended(
        execution_key parent,
        std::vector<service_pressure> const& pressures,
        bool failed)
    {
        guard_.on_call_ended(parent, pressures, failed);
    }

    // Functions that entry_sink requires.
    bool send(endpoint to, relay_message message)
    {
        return site_.send(*this, to, std::move(message));
    }

    void ping(endpoint daemon)
    {
        pinged_daemons_.push_back(daemon);
    }

    void answer(client_token token, client_answer const& answer)
    {
        site_.answer(token, answer);
    }

    void record_decision(decision_record const&)
    {
    }

    endpoint const address_;
    std::uint64_t const incarnation_;
    Site& site_;
    std::vector<endpoint> pinged_daemons_;
    upstream_record record_;
    upstream_directory directory_{64};
    crash_register crashes_{3};
    upstream_guard<virtual_daemon> guard_;
    request_entry<virtual_daemon, least_wait_placement> entry_;
};

} // namespace samphire
