#pragma once

#include <absl/time/time.h>

#include <map>
#include <string>

namespace samphire::scenario
{

/// A fault, or an action of an operator, that a scenario schedules.
struct fault_setup
{
    /// Time from the start of the load to the fault.
    absl::Duration const time_{};
    /// Maximum of the random delay that is added to `time_`.
    absl::Duration const max_random_delay_{};
    std::string const verb_{};
    /// Node, domain or keyword that the verb applies to.
    std::string const target_{};
    std::map<std::string, std::string> const options_{};

    friend bool operator==(fault_setup const&, fault_setup const&) = default;
};

} // namespace samphire::scenario
