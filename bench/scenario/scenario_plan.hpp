#pragma once

#include "policy/policy_document.hpp"
#include "scenario/expectation.hpp"
#include "scenario/fault_setup.hpp"
#include "scenario/load_setup.hpp"
#include "scenario/node_setup.hpp"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace samphire::scenario
{

/// Parsed content of one scenario file.
struct scenario_plan
{
    std::string const name_{};
    /// Guarantee that the scenario checks, such as P5 of the design page.
    std::string const guarantee_{};
    /// Where the scenario runs: "virtual" for virtual time, "process" for
    /// daemon processes.
    std::string const mode_{"virtual"};
    unsigned const runs_{20};
    /// Time before the load starts, in which the daemons find each other.
    absl::Duration const settle_duration_{absl::Seconds(15)};
    absl::Duration const duration_{absl::Seconds(20)};
    unsigned const datagram_loss_percent_{};
    unsigned const datagram_repeat_percent_{};
    policy_document const policy_{};
    std::vector<node_setup> const nodes_{};
    std::vector<load_setup> const loads_{};
    std::vector<fault_setup> const faults_{};
    std::vector<expectation> const expectations_{};

    friend bool
    operator==(scenario_plan const&, scenario_plan const&) = default;
};

} // namespace samphire::scenario
