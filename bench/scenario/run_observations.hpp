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

/// What was done and seen during one run; written by the runner and its fault
/// injector, read by the figure collector.
struct run_observations
{
    std::map<std::string, std::size_t> nodes_;
    std::map<std::uint64_t, sent_call> sent_;
    /// Ends of daemon processes, by node.
    std::map<std::size_t, std::vector<absl::Time>> kills_;
    std::vector<graceful_stop> stops_;
    std::map<std::size_t, absl::Time> leaving_since_;
    /// execute_requests by request and depth.
    std::map<request_id, std::map<std::uint32_t, unsigned>> attempts_;
    std::map<std::size_t, revision> highest_;
    revision newest_{};
    unsigned work_after_leaving_{};
    unsigned reverted_{};
    unsigned unknown_verbs_{};

    /// Node of the entry that a call in turn `turn` of the load uses.
    std::size_t entry_of(load_setup const& load, std::size_t turn) const
    {
        if (load.entries_.empty())
            return turn % nodes_.size();
        return nodes_.at(load.entries_[turn % load.entries_.size()]);
    }
};

} // namespace samphire::scenario
