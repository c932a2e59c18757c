#include "forwarding/order_intake.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(order_intake)
{
    order_intake intake;

    void add(std::uint64_t incarnation, std::uint64_t exchange)
    {
        intake.add({.key_ = {incarnation, exchange}});
    }

    std::vector<std::uint64_t> take_all()
    {
        std::vector<std::uint64_t> exchanges;
        while (auto const order = intake.take())
            exchanges.push_back(order->key_.exchange_number_);
        return exchanges;
    }
};

TEST(order_intake, orders_are_taken_in_the_order_of_arrival)
{
    add(7, 1);
    add(8, 2);
    CHECK((take_all() == std::vector<std::uint64_t>{1, 2}));
    CHECK(take_all().empty());
    add(7, 3);
    CHECK((take_all() == std::vector<std::uint64_t>{3}));
}

// Guards against work for a client that has left: a daemon that is late reads
// an order and the cancel behind it in one round.
TEST(order_intake, order_that_is_cancelled_in_the_same_round_is_not_taken)
{
    add(7, 1);
    add(7, 2);
    CHECK(intake.withdraw({7, 1}));
    CHECK_FALSE(intake.withdraw({7, 1}));
    CHECK((take_all() == std::vector<std::uint64_t>{2}));
}

TEST(order_intake, order_that_was_taken_is_not_withdrawn)
{
    add(7, 1);
    add(7, 2);
    CHECK(intake.take().has_value());
    CHECK_FALSE(intake.withdraw({7, 1}));
}

// Guards against the same for an entry whose link ends behind its orders.
TEST(order_intake, orders_of_a_lost_entry_are_not_taken)
{
    add(7, 1);
    add(8, 2);
    add(7, 3);
    intake.withdraw_entry(7);
    CHECK((take_all() == std::vector<std::uint64_t>{2}));
}
