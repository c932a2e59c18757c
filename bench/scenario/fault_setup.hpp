#pragma once

#include <absl/time/time.h>

#include <map>
#include <string>

namespace samphire::scenario
{

/// A fault, or an act of an operator, at a time of the run.
struct fault_setup
{
    absl::Duration const at_{};
    /// Random time added to `at_`, up to this.
    absl::Duration const spread_{};
    std::string const verb_{};
    /// Node, domain or word that the verb applies to.
    std::string const target_{};
    std::map<std::string, std::string> const options_{};

    friend bool operator==(fault_setup const&, fault_setup const&) = default;
};

} // namespace samphire::scenario
