#pragma once

#include "base/request_id.hpp"
#include "base/revision.hpp"
#include "scenario/graceful_stop.hpp"
#include "scenario/sent_call.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace samphire::scenario
{

/// Faults, calls and daemon states observed during one run; written by
/// virtual_runner and fault_injector, read by figure_collector.
struct run_observations
{
    /// Index of each node in the mesh, by its name in the scenario.
    std::map<std::string, std::size_t> node_indices_;
    /// Calls that the runner sent, by call number in the mesh.
    std::map<std::uint64_t, sent_call> sent_calls_;
    /// Times at which the daemon of a node was killed, by node index.
    std::map<std::size_t, std::vector<absl::Time>> kill_times_;
    std::vector<graceful_stop> graceful_stops_;
    /// Time at which a drain, a stop or a policy document told a daemon to
    /// leave, by node index.
    std::map<std::size_t, absl::Time> leaving_since_;
    /// Number of execute_request messages, by request and depth.
    std::map<request_id, std::map<std::uint32_t, unsigned>> attempts_;
    /// Highest policy revision that the running daemon process has applied, by
    /// node index.
    std::map<std::size_t, revision> highest_revisions_;
    /// Highest policy revision that was written to the platform.
    revision highest_written_revision_{};
    unsigned starts_after_leaving_{};
    /// Number of checks that found a daemon with a lower policy revision than
    /// before.
    unsigned reverted_revisions_{};
    unsigned unknown_verbs_{};

    /// Returns the node index of the entry at a position of the load's rotation
    /// of entries. All nodes are entries if the load lists none.
    std::size_t
    entry_index_of(load_setup const& load, std::size_t entry_position) const
    {
        if (load.entries_.empty())
            return entry_position % node_indices_.size();
        return node_indices_.at(
            load.entries_[entry_position % load.entries_.size()]);
    }
};

} // namespace samphire::scenario
