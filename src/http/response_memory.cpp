#include "http/response_memory.hpp"

#include "http/http_transfer.hpp"

#include <algorithm>

namespace samphire
{

void response_memory::update(http_transfer& transfer, std::size_t bytes)
{
    std::size_t& recorded = bytes_by_transfer_[&transfer];
    total_bytes_ += bytes - recorded;
    recorded = bytes;
    while (total_bytes_ > max_bytes_)
    {
        auto const largest = std::max_element(
            bytes_by_transfer_.begin(),
            bytes_by_transfer_.end(),
            [](auto const& left, auto const& right)
            { return left.second < right.second; });
        http_transfer& given_up = *largest->first;
        remove(given_up);
        given_up.give_up();
    }
}

void response_memory::remove(http_transfer& transfer)
{
    auto const node = bytes_by_transfer_.extract(&transfer);
    if (!node.empty())
        total_bytes_ -= node.mapped();
}

} // namespace samphire
