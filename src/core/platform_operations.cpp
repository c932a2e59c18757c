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
    if (owner_by_operation_.size() >= capacity)
    {
        ++refused_call_count_;
        return std::nullopt;
    }
    last_operation_id_ = last_operation_id_.next();
    owner_by_operation_.emplace(last_operation_id_, owner);
    actions_.emit(call_platform{last_operation_id_, request});
    return last_operation_id_;
}

std::optional<operation_owner>
platform_operations::finish(operation_id operation)
{
    auto const found = owner_by_operation_.find(operation);
    if (found == owner_by_operation_.end())
        return std::nullopt;
    operation_owner const owner = found->second;
    owner_by_operation_.erase(found);
    return owner;
}

std::size_t platform_operations::size() const
{
    return owner_by_operation_.size();
}

std::uint64_t platform_operations::refused_call_count() const
{
    return refused_call_count_;
}

} // namespace samphire
