#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace samphire::standin
{

/// Number of executions of each request, by route and body. Any thread may use
/// the object.
class run_counts
{
public:
    void add(std::string const& request);

    /// One line for each request: count, service, route and body.
    std::string text(std::string const& service) const;

private:
    std::mutex mutable mutex_;
    std::map<std::string, std::uint64_t> counts_;
};

} // namespace samphire::standin
