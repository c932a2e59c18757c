#include "core/platform_operations.hpp"

namespace samphire
{

platform_operations::platform_operations(action_sink& actions)
    : actions_(actions)
{
}

std::optional<operation_id>
platform_operations::call(platform_part part, platform_request const& request)
{
    if (waiting_.size() >= capacity)
    {
        ++refused_;
        return std::nullopt;
    }
    last_ = last_.next();
    waiting_.emplace(last_, part);
    actions_.emit(call_platform{last_, request});
    return last_;
}

std::optional<platform_part> platform_operations::finish(operation_id operation)
{
    auto const found = waiting_.find(operation);
    if (found == waiting_.end())
        return std::nullopt;
    platform_part const part = found->second;
    waiting_.erase(found);
    return part;
}

std::size_t platform_operations::size() const
{
    return waiting_.size();
}

std::uint64_t platform_operations::refused() const
{
    return refused_;
}

} // namespace samphire
