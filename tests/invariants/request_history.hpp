#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphire::invariants
{

/// One request of a caller, the calls by which the caller sent the request, and
/// the times at which upstreams ran the request.
struct request_history
{
    std::string service_;
    std::string route_;
    std::string body_;
    std::string key_;
    /// Call numbers in the mesh, in the order in which the caller sent the
    /// calls.
    std::vector<std::uint64_t> call_numbers_;
    std::vector<absl::Time> run_times_;
};

} // namespace samphire::invariants
