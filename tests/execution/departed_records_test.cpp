#include "execution/departed_records.hpp"
#include "execution/split_into_transfers.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(departed_records)
{
    daemon_id const guard{"guard"};
    departed_records records;

    std::vector<record_transfer> transfer_parts() const
    {
        std::vector<answered_record> stored;
        for (std::uint64_t nonce = 1; nonce <= 5; ++nonce)
            stored.push_back(
                {{nonce, nonce},
                 ticket_state::answered,
                 stored_answer{200, payload(std::string(400'000, 'x'))}});
        return split_into_transfers(
            guard, incarnation(3), ticket_epoch(7), stored);
    }

    ticket_state state_of_ticket(std::uint64_t nonce, std::uint64_t epoch = 7)
        const
    {
        execution_ticket const ticket{
            .guard_ = guard,
            .incarnation_ = incarnation(3),
            .epoch_ = ticket_epoch(epoch),
            .nonce_ = {nonce, nonce}};
        return records.find(ticket).state_;
    }
};

// Guards against reporting "not run" for a ticket whose record was in a part of
// the transfer that was lost.
TEST(departed_records, absent_ticket_is_closed_only_by_complete_transfer)
{
    std::vector<record_transfer> const transfer = transfer_parts();
    CHECK(transfer.size() > 1);
    records.add(transfer.back());
    CHECK(state_of_ticket(99) == ticket_state::expired);
    for (record_transfer const& part : transfer)
        records.add(part);
    CHECK(state_of_ticket(99) == ticket_state::closed);
    CHECK(state_of_ticket(1) == ticket_state::answered);
}

// Guards against reporting "not run" for a request whose record the guard had
// dropped.
TEST(departed_records, ticket_of_dropped_epoch_is_expired)
{
    for (record_transfer const& part : transfer_parts())
        records.add(part);
    CHECK(state_of_ticket(99, 6) == ticket_state::closed);
    CHECK(state_of_ticket(99, 5) == ticket_state::expired);
    CHECK(state_of_ticket(99, 8) == ticket_state::expired);
}

// Guards against unbounded memory use by the records of peers that restart
// often.
TEST(departed_records, ticket_of_guard_dropped_at_capacity_is_expired)
{
    for (record_transfer const& part : transfer_parts())
        records.add(part);
    for (std::uint64_t number = 1; number <= 64; ++number)
        records.add({daemon_id("other"), incarnation(number), {}, {}, 0, true});
    CHECK(state_of_ticket(1) == ticket_state::expired);
}
