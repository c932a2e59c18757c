#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphire::invariants
{

/// All calls by which a caller sent one request, and the runs of the request.
struct request_history
{
    std::string service_;
    std::string route_;
    std::string body_;
    std::string key_;
    /// Numbers of the calls in the mesh, in the order of sending.
    std::vector<std::uint64_t> call_numbers_;
    std::vector<absl::Time> run_times_;
};

} // namespace samphire::invariants
