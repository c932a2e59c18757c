#pragma once

#include "forwarding/upstream_process.hpp"

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <deque>

namespace samphire
{

/// Bounded set of processes of upstreams; the one that was added first is
/// removed beyond the bound. Upstreams are replaced so rarely that its late
/// heartbeats are no longer expected by then.
class process_history
{
public:
    void add(upstream_process const& process)
    {
        if (!processes_.insert(process).second)
            return;
        processes_by_age_.push_back(process);
        if (processes_by_age_.size() <= max_processes)
            return;
        processes_.erase(processes_by_age_.front());
        processes_by_age_.pop_front();
    }

    bool contains(upstream_process const& process) const
    {
        return processes_.contains(process);
    }

private:
    static constexpr std::size_t max_processes = 256;

    absl::flat_hash_set<upstream_process> processes_;
    std::deque<upstream_process> processes_by_age_;
};

} // namespace samphire
