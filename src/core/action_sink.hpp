#pragma once

#include "core/action.hpp"

#include <utility>

namespace samphire
{

/// Collects the actions that daemon_core emits while it handles one event.
class action_sink
{
public:
    void emit(action value)
    {
        actions_.push_back(std::move(value));
    }

    action_list take_actions()
    {
        return std::exchange(actions_, {});
    }

private:
    action_list actions_;
};

} // namespace samphire
