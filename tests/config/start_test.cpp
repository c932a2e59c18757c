#include "core/product_daemon_core.hpp"
#include "policy/policy_codec.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>

using namespace samphire;

/// One daemon whose peers and platform are simulated by the test.
TEST_GROUP(daemon_start)
{
    endpoint const seed{0x0a000002, 7000};
    peer_identity const peer{daemon_id("peer"), incarnation(1), seed};
    daemon_core<product_policies> core{
        core_settings{.seeds_ = {seed}},
        daemon_identity{
            .daemon_ = daemon_id("self"),
            .domain_ = domain_name("a"),
            .endpoint_ = endpoint(0x0a000001, 7000),
            .incarnation_ = incarnation(1)},
        1};
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    std::string readiness_reason;
    std::unique_ptr<call_platform> policy_read;
    std::size_t started_executions{};

    void handle_event(event const& input)
    {
        for (action const& decided : core.handle(input, now))
        {
            if (auto const* const value =
                    std::get_if<readiness_changed>(&decided))
                readiness_reason = value->reason_;
            auto const* const call = std::get_if<call_platform>(&decided);
            if (call && call->request_.name_ == object_name("policy"))
                policy_read = std::make_unique<call_platform>(*call);
            started_executions +=
                std::holds_alternative<start_at_upstream>(decided);
        }
    }

    void advance_time(absl::Duration time)
    {
        for (absl::Time const end = now + time; now < end;
             now += absl::Milliseconds(50))
            handle_event(timer_elapsed{});
    }

    static policy_document policy(std::uint64_t number)
    {
        return {.revision_ = revision(number)};
    }

    void answer_read(std::uint64_t number)
    {
        handle_event(platform_replied{
            policy_read->operation_,
            {platform_status::ok,
             object_version(1),
             payload(format_policy(policy(number)))}});
    }

    void answer_as_peer(std::uint64_t number)
    {
        handle_event(peer_message_received{
            peer,
            section_reply{
                revision(number), payload(format_policy(policy(number)))}});
    }

    void send_work()
    {
        handle_event(peer_message_received{
            peer,
            execute_request{
                .exchange_ = exchange_id(started_executions + 1),
                .service_ = service_name("front"),
                .route_ = route_name("list"),
                .context_ = {.time_to_deadline_ = absl::Seconds(2)},
                .ticket_not_sent_before_ = true}});
    }
};

// Guards against readiness before a peer has answered: peers may hold a higher
// revision than an outdated answer of the platform.
TEST(daemon_start, readiness_waits_for_platform_and_peers)
{
    handle_event(timer_elapsed{});
    answer_read(3);
    STRCMP_EQUAL("", readiness_reason.c_str());
    answer_as_peer(5);
    STRCMP_EQUAL("policy=5", readiness_reason.c_str());
}

// Guards against a daemon that never serves when neither a peer nor the
// platform answers.
TEST(daemon_start, isolated_daemon_serves_with_defaults_after_the_start_wait)
{
    handle_event(timer_elapsed{});
    advance_time(absl::Milliseconds(1900));
    STRCMP_EQUAL("", readiness_reason.c_str());
    advance_time(absl::Milliseconds(200));
    STRCMP_EQUAL("policy=defaults", readiness_reason.c_str());
}

// Guards against a resumed daemon that runs work under the document from before
// its pause.
TEST(daemon_start, work_after_a_pause_waits_for_the_reads)
{
    handle_event(timer_elapsed{});
    answer_read(3);
    answer_as_peer(3);
    upstream_announced const announced{
        {.service_ = service_name("front"),
         .endpoint_ = endpoint(0x0a000001, 9000),
         .slots_ = 4}};
    handle_event(announced);
    send_work();
    LONGS_EQUAL(1, started_executions);
    now += absl::Seconds(10);
    handle_event(announced);
    send_work();
    LONGS_EQUAL(1, started_executions);
    answer_read(4);
    answer_as_peer(4);
    LONGS_EQUAL(2, started_executions);
}
