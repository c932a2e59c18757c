#pragma once

#include "base/execution_id.hpp"
#include "messages/outcome_reason.hpp"

namespace samphire
{

/// An execution that is shed before it starts.
struct shed_execution
{
    execution_id const execution_{};
    outcome_reason const reason_{};

    friend bool
    operator==(shed_execution const&, shed_execution const&) = default;
};

} // namespace samphire
