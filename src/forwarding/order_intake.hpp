#pragma once

#include "forwarding/messages/execute_order.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace samphire
{

/// Orders that have arrived in the present round of the event loop. They reach
/// the guard at the end of the round, so that an order whose cancel arrives in
/// the same round is never started.
class order_intake
{
public:
    void add(execute_order order);
    /// Drops the order; returns false when it is not here.
    bool withdraw(execution_key key);
    /// Drops all orders of the entry with this incarnation, which can no longer
    /// cancel them.
    void withdraw_entry(std::uint64_t incarnation);
    /// Removes and returns the oldest order.
    std::optional<execute_order> take();

private:
    /// In order of arrival. The number of bytes that a round reads from the
    /// links bounds the number of orders.
    std::vector<execute_order> orders_;
    /// Number of orders at the front of `orders_` that have been taken.
    std::size_t taken_{};
};

} // namespace samphire
