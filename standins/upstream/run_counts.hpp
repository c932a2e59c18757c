#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace samphire::standin
{

/// How often each request ran, by route and body; any thread may use it.
class run_counts
{
public:
    void add(std::string const& work);

    /// One line for each request: count, service, route and body.
    std::string page(std::string const& service) const;

private:
    std::mutex mutable mutex_;
    std::map<std::string, std::uint64_t> runs_;
};

} // namespace samphire::standin
