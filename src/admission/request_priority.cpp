#include "admission/request_priority.hpp"

namespace samphire
{

std::uint64_t request_priority(importance level, request_id const& request)
{
    std::uint64_t const mixed = request.high_ ^ (request.low_ >> 7);
    return static_cast<std::uint64_t>(level) * priority_steps_per_class +
           mixed % priority_steps_per_class;
}

} // namespace samphire
