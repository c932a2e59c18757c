#pragma once

#include "store/recording_store_sink.hpp"
#include "store/store_session.hpp"

#include <CppUTest/TestHarness.h>

namespace samphire
{

/// Plays the store to the session of one daemon.
class store_session_fixture : public Utest
{
public:
    recording_store_sink sink;
    random_source random{1};
    store_session<recording_store_sink> session{{}, "me", random, sink};
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};
    upstream_record const own_record{
        .daemon_ = endpoint(1, 7000),
        .id_ = upstream_id("i"),
        .start_time_ms_ = 1,
        .slots_ = 4,
        .phase_ = upstream_phase::ready};

    /// Reports `outcome` for the oldest unanswered call with this action.
    void reply(store_action action, store_outcome const& outcome)
    {
        for (auto entry = sink.calls_.begin(); entry != sink.calls_.end();
             ++entry)
        {
            if (entry->second.action_ != action)
                continue;
            std::uint64_t const number = entry->first;
            sink.calls_.erase(entry);
            session.on_outcome(number, outcome, now);
            return;
        }
        FAIL("no such call");
    }

    unsigned open_calls(store_action action) const
    {
        unsigned count = 0;
        for (auto const& [number, operation] : sink.calls_)
            count += operation.action_ == action ? 1 : 0;
        return count;
    }

    store_operation last_call() const
    {
        return sink.calls_.back().second;
    }

    static store_outcome
    policy_outcome(std::uint64_t version, std::uint64_t revision)
    {
        return {
            .status_ = store_status::done,
            .store_revision_ = revision,
            .policy_ = std::make_shared<forwarding_policy const>(
                forwarding_policy{.version_ = version})};
    }

    void advance_time(absl::Duration time)
    {
        for (absl::Time const end = now + time; now < end;)
        {
            now += absl::Milliseconds(10);
            session.tick(now);
        }
    }

    void start_with_empty_list()
    {
        session.start(now);
        reply(store_action::list_upstreams, {.status_ = store_status::done});
    }
};

} // namespace samphire
