#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphire::invariants
{

/// All sends of one request by its caller, and its runs.
struct request_history
{
    std::string service_;
    std::string route_;
    std::string body_;
    std::string key_;
    /// Numbers of the calls in the mesh.
    std::vector<std::uint64_t> sends_;
    std::vector<absl::Time> runs_;
};

} // namespace samphire::invariants
