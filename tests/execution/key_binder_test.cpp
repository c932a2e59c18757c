#include "execution/key_binder.hpp"
#include "fake_platform.hpp"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace samphire;

TEST_GROUP(key_binder)
{
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    fake::fake_platform platform{1};
    key_binder left{{}};
    key_binder right{{}};
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

    /// Starts one platform call of each binder before any reply arrives, so
    /// that two binders race.
    void run(int rounds)
    {
        for (int round = 0; round < rounds; ++round)
        {
            now += absl::Milliseconds(5);
            std::vector<std::pair<key_binder*, binding_operation>> started;
            for (key_binder* const binder : {&left, &right})
            {
                for (auto const& operation : binder->start_due(now))
                    started.emplace_back(binder, operation);
            }
            std::vector<platform_result> replies;
            for (auto const& [binder, operation] : started)
                replies.push_back(platform.call(operation.request_));
            for (std::size_t i = 0; i < started.size(); ++i)
            {
                for (auto const& result : started[i].first->on_result(
                         started[i].second.shard_, replies[i], now))
                    results.emplace(result.call_.value(), result);
            }
        }
    }

    execution_ticket bound(std::uint64_t call)
    {
        CHECK(results.contains(call));
        CHECK(results.at(call).outcome_ == binding_outcome::bound);
        return *results.at(call).ticket_;
    }
};

// Guards against two tickets, and so two runs, for one key that is bound
// through two daemons at the same time.
TEST(key_binder, racing_daemons_get_one_ticket)
{
    bind(left, 1, 7);
    bind(right, 2, 7);
    run(6);
    CHECK(bound(1) == bound(2));
}

// Guards against a separate platform write for each key.
TEST(key_binder, keys_of_one_shard_share_a_write)
{
    for (std::uint64_t key = 0; key < 50; ++key)
        bind(left, 1 + key, 64 * key);
    run(3);
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
        bind(left, call, 64 * call);
        run(8);
        platform.set_lost_answer_percent(0);
        bind(left, 1000 + call, 64 * call);
        run(4);
        CHECK(results.at(call).outcome_ != binding_outcome::not_bound);
        bool const bound_first =
            results.at(call).outcome_ == binding_outcome::bound;
        if (bound_first)
            CHECK(bound(call) == bound(1000 + call));
    }
}

// Guards against a key that remains unusable after its ticket was closed, and
// against two replacements of the closed ticket.
TEST(key_binder, closed_ticket_is_replaced_once)
{
    bind(left, 1, 7);
    run(4);
    execution_ticket const closed = bound(1);
    bind(left, 2, 7, closed);
    bind(right, 3, 7, closed);
    run(6);
    CHECK(bound(2) == bound(3));
    CHECK(!(bound(2) == closed));
}

// Guards against reporting "not run" for a key that an earlier request may have
// bound.
TEST(key_binder, key_during_platform_outage_is_unknown)
{
    platform.set_unavailable(true);
    bind(left, 1, 7);
    run(2);
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
        CHECK(shard.text().size() <= 600);
    }
    CHECK(shard.find({0, 9}) != nullptr);
    CHECK(shard.find({0, 1}) == nullptr);
    CHECK(!shard.shrink(100, 3));
}

// Guards against losing bindings in the text form.
TEST(key_binder, shard_text_is_read_back)
{
    binding_shard shard;
    shard.start_write();
    shard.bind({1, 2}, ticket(3));
    auto const read = binding_shard::parse(shard.text());
    CHECK(read.has_value());
    CHECK(*read->find({1, 2}) == *shard.find({1, 2}));
    CHECK(!binding_shard::parse(payload("{\"writes\":1}")).has_value());
}
