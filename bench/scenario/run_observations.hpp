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
    /// Sent calls by their number in the mesh.
    std::map<std::uint64_t, sent_call> sent_calls_;
    /// Times at which daemon processes were killed, by node.
    std::map<std::size_t, std::vector<absl::Time>> kill_times_;
    std::vector<graceful_stop> graceful_stops_;
    /// When a node was told to leave by a drain, a stop or a document, by node.
    std::map<std::size_t, absl::Time> leaving_since_;
    /// Number of execute_request messages, by request and depth.
    std::map<request_id, std::map<std::uint32_t, unsigned>> attempts_;
    /// Highest revision that the present daemon process has had in force, by
    /// node.
    std::map<std::size_t, revision> highest_revisions_;
    /// Highest revision that was written to the platform.
    revision newest_revision_{};
    unsigned work_after_leaving_{};
    /// How often a daemon was found with a lower revision than before.
    unsigned reverted_revisions_{};
    unsigned unknown_verbs_{};

    /// Node of the entry at a position of the load's rotation; all nodes are
    /// entries if the load lists none.
    std::size_t
    entry_of(load_setup const& load, std::size_t entry_position) const
    {
        if (load.entries_.empty())
            return entry_position % node_indices_.size();
        return node_indices_.at(
            load.entries_[entry_position % load.entries_.size()]);
    }
};

} // namespace samphire::scenario
