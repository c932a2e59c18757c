#pragma once

#include "forwarding/forwarding_policy.hpp"
#include "store/store_operation.hpp"
#include "store/stored_upstream.hpp"

#include <concepts>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace samphire
{

/// Requirements on the type that executes the calls to the store and receives
/// the policies and lists that were read.
template <class T>
concept store_sink = requires(
    T sink,
    std::uint64_t number,
    store_operation const& operation,
    std::shared_ptr<forwarding_policy const> policy,
    std::vector<stored_upstream> const& upstreams)
{
    /// Starts a call to the store. The outcome is reported by
    /// store_session::on_outcome() with the same number.
    {sink.submit(number, operation)};
    {sink.on_policy(policy)};
    /// Receives the complete list of upstreams.
    {sink.on_upstreams(upstreams)};
    {sink.on_store_reachable(true)};
    /// Called when the store has come back from a copy. Revisions that were
    /// read before name other states now.
    {sink.on_store_restored(number)};
};

} // namespace samphire
