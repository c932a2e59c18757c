#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace samphire::standin
{

/// Counts the executions of each request, by route and body. Any thread may
/// call the functions.
class run_counts
{
public:
    void add(std::string const& request);

    /// Returns one line for each request: number of executions, service, route
    /// and body.
    std::string text(std::string const& service) const;

private:
    std::mutex mutable mutex_;
    std::map<std::string, std::uint64_t> executions_by_request_;
};

} // namespace samphire::standin
