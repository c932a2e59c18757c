#include "execution/key_binder.hpp"
#include "fake_platform.hpp"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace samphire;

TEST_GROUP(key_binder)
{
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    fake::fake_platform platform{1};
    key_binder first_binder{{}};
    key_binder second_binder{{}};
    std::map<std::uint64_t, binding_result> results;

    static execution_ticket ticket(std::uint64_t nonce)
    {
        return {
            .guard_ = daemon_id("guard"),
            .incarnation_ = incarnation(1),
            .endpoint_ = endpoint(0x0a000001, 7000),
            .epoch_ = ticket_epoch(1),
            .nonce_ = {nonce, nonce}};
    }

    void bind(
        key_binder & binder,
        std::uint64_t call,
        std::uint64_t key,
        std::optional<execution_ticket> const& closed = std::nullopt)
    {
        binder.bind({call_id(call), {0, key}, ticket(call), closed}, now);
    }

    /// In each round, starts the due platform calls of both binders before any
    /// reply arrives, so that the two binders race.
    void run_rounds(int rounds)
    {
        for (int round = 0; round < rounds; ++round)
        {
            now += absl::Milliseconds(5);
            std::vector<std::pair<key_binder*, binding_operation>> started;
            for (key_binder* const binder : {&first_binder, &second_binder})
            {
                for (auto const& operation : binder->start_due_calls(now))
                    started.emplace_back(binder, operation);
            }
            std::vector<platform_result> replies;
            for (auto const& [binder, operation] : started)
                replies.push_back(platform.call(operation.request_));
            for (std::size_t i = 0; i < started.size(); ++i)
            {
                for (auto const& result : started[i].first->on_result(
                         started[i].second.shard_number_, replies[i], now))
                    results.emplace(result.call_.value(), result);
            }
        }
    }

    execution_ticket ticket_bound_by_call(std::uint64_t call)
    {
        CHECK(results.contains(call));
        CHECK(results.at(call).outcome_ == binding_outcome::bound);
        return *results.at(call).ticket_;
    }
};

// Guards against two tickets, and therefore two runs, for one key that two
// daemons bind at the same time.
TEST(key_binder, racing_daemons_get_one_ticket)
{
    bind(first_binder, 1, 7);
    bind(second_binder, 2, 7);
    run_rounds(6);
    CHECK(ticket_bound_by_call(1) == ticket_bound_by_call(2));
}

// Guards against a separate platform write for each key.
TEST(key_binder, keys_of_one_shard_share_a_write)
{
    for (std::uint64_t key = 0; key < 50; ++key)
        bind(first_binder, 1 + key, 64 * key);
    run_rounds(3);
    LONGS_EQUAL(50, results.size());
    LONGS_EQUAL(2, platform.calls());
}

// Guards against a second ticket after the platform lost the answer to a write
// that took effect.
TEST(key_binder, write_with_lost_answer_keeps_its_ticket)
{
    for (std::uint64_t call = 1; call <= 200; ++call)
    {
        platform.set_lost_answer_percent(40);
        bind(first_binder, call, 64 * call);
        run_rounds(8);
        platform.set_lost_answer_percent(0);
        bind(first_binder, 1000 + call, 64 * call);
        run_rounds(4);
        CHECK(results.at(call).outcome_ != binding_outcome::not_bound);
        bool const bound_first =
            results.at(call).outcome_ == binding_outcome::bound;
        if (bound_first)
            CHECK(
                ticket_bound_by_call(call) ==
                ticket_bound_by_call(1000 + call));
    }
}

// Guards against a key that remains unusable after its ticket was closed, and
// against two replacements of the closed ticket.
TEST(key_binder, closed_ticket_is_replaced_once)
{
    bind(first_binder, 1, 7);
    run_rounds(4);
    execution_ticket const closed = ticket_bound_by_call(1);
    bind(first_binder, 2, 7, closed);
    bind(second_binder, 3, 7, closed);
    run_rounds(6);
    CHECK(ticket_bound_by_call(2) == ticket_bound_by_call(3));
    CHECK(!(ticket_bound_by_call(2) == closed));
}

// Guards against reporting "not run" for a key that an earlier request may have
// bound.
TEST(key_binder, key_during_platform_outage_is_unknown)
{
    platform.set_unavailable(true);
    bind(first_binder, 1, 7);
    run_rounds(2);
    CHECK(results.at(1).outcome_ == binding_outcome::unknown);
}

// Guards against a shard that exceeds the platform's size limit, and against
// dropping a recent binding for a new one.
TEST(key_binder, full_shard_refuses_and_keeps_recent_bindings)
{
    binding_shard shard;
    for (std::uint64_t key = 1; key <= 9; ++key)
    {
        shard.start_write();
        shard.bind({0, key}, ticket(key));
        bool const fits = shard.shrink(600, 3);
        CHECK(fits);
        CHECK(shard.json_text().size() <= 600);
    }
    CHECK(shard.find({0, 9}) != nullptr);
    CHECK(shard.find({0, 1}) == nullptr);
    CHECK(!shard.shrink(100, 3));
}

// Guards against losing bindings when a shard is written as JSON text and
// parsed.
TEST(key_binder, shard_text_is_read_back)
{
    binding_shard shard;
    shard.start_write();
    shard.bind({1, 2}, ticket(3));
    auto const read = binding_shard::parse(shard.json_text());
    CHECK(read.has_value());
    CHECK(*read->find({1, 2}) == *shard.find({1, 2}));
    CHECK(!binding_shard::parse(payload("{\"writes\":1}")).has_value());
}
