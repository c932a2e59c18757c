#include "execution/execution_registry.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(execution_registry)
{
    absl::Time const start = absl::UnixEpoch() + absl::Hours(1);
    incarnation const self{7};
    execution_registry registry{
        self,
        {.max_records_ = 4,
         .max_answer_bytes_ = 100,
         .epoch_duration_ = absl::Seconds(60)}};

    execution_ticket ticket(std::uint64_t nonce, std::uint64_t epoch = 1) const
    {
        return {
            .guard_ = daemon_id("guard"),
            .incarnation_ = self,
            .epoch_ = ticket_epoch(epoch),
            .nonce_ = {nonce, nonce}};
    }

    bool has_state(ticket_state expected, std::uint64_t nonce, absl::Time now)
    {
        return registry.query(ticket(nonce), false, now).state_ == expected;
    }
};

// Guards against a second run of a request when the caller sends the same
// ticket again.
TEST(execution_registry, resend_of_running_ticket_is_not_fresh)
{
    CHECK(registry.accept(ticket(1), start).state_ == ticket_state::fresh);
    CHECK(registry.accept(ticket(1), start).state_ == ticket_state::running);
}

// Guards against an empty answer to a caller that repeats a finished request.
TEST(execution_registry, resend_of_answered_ticket_returns_whole_answer)
{
    registry.accept(ticket(1), start);
    registry.record_answer(ticket(1).nonce_, {200, payload("whole")}, start);
    ticket_lookup_result const found = registry.accept(ticket(1), start);
    CHECK(found.state_ == ticket_state::answered);
    CHECK(*found.answer_ == (stored_answer{200, payload("whole")}));
}

// Guards against running a request after its caller was told "not run".
TEST(execution_registry, ticket_closed_by_query_never_becomes_fresh)
{
    CHECK(
        registry.query(ticket(1), true, start).state_ == ticket_state::closed);
    CHECK(registry.accept(ticket(1), start).state_ == ticket_state::closed);
}

// Guards against a second run of a request after the record of its ticket was
// dropped with the epoch.
TEST(execution_registry, ticket_of_dropped_epoch_is_expired)
{
    registry.accept(ticket(1), start);
    registry.record_answer(ticket(1).nonce_, {200, payload()}, start);
    absl::Time const later = start + absl::Seconds(121);
    registry.epoch(start + absl::Seconds(61));
    registry.epoch(later);
    CHECK(registry.accept(ticket(1), later).state_ == ticket_state::expired);
}

// Guards against running a ticket of an earlier process of the same guard.
TEST(execution_registry, ticket_of_other_incarnation_is_expired)
{
    execution_ticket const old{
        .guard_ = daemon_id("guard"),
        .incarnation_ = incarnation(6),
        .epoch_ = ticket_epoch(1),
        .nonce_ = {1, 1}};
    CHECK(registry.accept(old, start).state_ == ticket_state::expired);
}

// Guards against unbounded memory use, and against dropping the records of
// running requests when the table is full.
TEST(execution_registry, full_table_refuses_and_keeps_running_records)
{
    for (std::uint64_t nonce = 1; nonce <= 4; ++nonce)
        registry.accept(ticket(nonce), start);
    CHECK(registry.accept(ticket(5), start).state_ == ticket_state::expired);
    CHECK(has_state(ticket_state::running, 1, start));
}

// Guards against unbounded memory use by stored answers.
TEST(execution_registry, answers_over_limit_become_unknown)
{
    for (std::uint64_t nonce = 1; nonce <= 2; ++nonce)
    {
        registry.accept(ticket(nonce), start);
        registry.record_answer(
            ticket(nonce).nonce_, {200, payload(std::string(80, 'x'))}, start);
    }
    CHECK(has_state(ticket_state::unknown, 1, start));
    CHECK(has_state(ticket_state::answered, 2, start));
}
