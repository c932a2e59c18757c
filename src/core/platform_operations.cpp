#include "core/platform_operations.hpp"

namespace samphire
{

platform_operations::platform_operations(action_sink& actions)
    : actions_(actions)
{
}

std::optional<operation_id> platform_operations::call(
    operation_owner owner, platform_request const& request)
{
    if (owners_.size() >= capacity)
    {
        ++refused_calls_;
        return std::nullopt;
    }
    last_operation_ = last_operation_.next();
    owners_.emplace(last_operation_, owner);
    actions_.emit(call_platform{last_operation_, request});
    return last_operation_;
}

std::optional<operation_owner>
platform_operations::finish(operation_id operation)
{
    auto const found = owners_.find(operation);
    if (found == owners_.end())
        return std::nullopt;
    operation_owner const owner = found->second;
    owners_.erase(found);
    return owner;
}

std::size_t platform_operations::size() const
{
    return owners_.size();
}

std::uint64_t platform_operations::refused() const
{
    return refused_calls_;
}

} // namespace samphire
