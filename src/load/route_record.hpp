#pragma once

#include "load/latency_summary.hpp"
#include "load/load_outcome.hpp"

#include <absl/time/time.h>

#include <array>
#include <cstdint>
#include <vector>

namespace samphire
{

/// Counts the arrivals, resends and outcomes of one route and collects the
/// latencies of its whole answers.
class route_record
{
public:
    void add_arrival()
    {
        ++arrivals_;
    }

    void add_resend()
    {
        ++resends_;
    }

    void add_outcome(load_outcome outcome, absl::Duration latency);

    std::uint64_t arrivals() const
    {
        return arrivals_;
    }

    std::uint64_t resends() const
    {
        return resends_;
    }

    std::uint64_t count(load_outcome outcome) const
    {
        return outcome_counts_[static_cast<std::size_t>(outcome)];
    }

    /// Returns the quantiles of the latencies of whole answers.
    latency_summary latency() const;

private:
    std::uint64_t arrivals_{};
    std::uint64_t resends_{};
    std::array<std::uint64_t, load_outcome_count> outcome_counts_{};
    std::vector<double> latencies_ms_;
};

} // namespace samphire
