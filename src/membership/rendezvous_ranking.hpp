#pragma once

#include "base/daemon_id.hpp"
#include "base/endpoint.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace samphire
{

/// Ranks members for one named duty by rendezvous hashing. When a member joins
/// or leaves, only the duties that this member gains or loses change their
/// owner.
class rendezvous_ranking
{
public:
    explicit rendezvous_ranking(std::string_view duty);

    void add(daemon_id const& daemon, endpoint address);
    /// Returns the addresses of the `count` members that rank highest.
    std::vector<endpoint> highest_ranked(std::size_t count);

private:
    std::uint64_t const seed_;
    std::vector<std::pair<std::uint64_t, endpoint>> addresses_by_hash_;
};

} // namespace samphire
