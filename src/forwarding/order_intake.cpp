#include "forwarding/order_intake.hpp"

#include <algorithm>
#include <utility>

namespace samphire
{

void order_intake::add(execute_order order)
{
    orders_.push_back(std::move(order));
}

bool order_intake::withdraw(execution_key key)
{
    auto const found = std::find_if(
        orders_.begin() + static_cast<std::ptrdiff_t>(taken_),
        orders_.end(),
        [&](execute_order const& order) { return order.key_ == key; });
    if (found == orders_.end())
        return false;
    orders_.erase(found);
    return true;
}

void order_intake::withdraw_entry(std::uint64_t incarnation)
{
    auto const removed = std::remove_if(
        orders_.begin() + static_cast<std::ptrdiff_t>(taken_),
        orders_.end(),
        [&](execute_order const& order)
        { return order.key_.incarnation_ == incarnation; });
    orders_.erase(removed, orders_.end());
}

std::optional<execute_order> order_intake::take()
{
    if (taken_ == orders_.size())
    {
        orders_.clear();
        taken_ = 0;
        return std::nullopt;
    }
    return std::move(orders_[taken_++]);
}

} // namespace samphire
