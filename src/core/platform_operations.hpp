#pragma once

#include "base/operation_id.hpp"
#include "core/action_sink.hpp"
#include "core/operation_owner.hpp"
#include "object_api/platform_request.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <optional>

namespace samphire
{

/// Tracks the platform calls in progress of all components of daemon_core. A
/// component calls call() and stores the returned id; daemon_core passes the
/// platform_replied event with that id to the same component. Exactly one reply
/// follows each accepted call, even when the platform is unavailable.
class platform_operations
{
public:
    /// Maximum number of calls in progress, pending watches included.
    static constexpr std::size_t capacity = 256;

    explicit platform_operations(action_sink& actions);

    /// Emits the platform call. Returns nullopt when too many calls are in
    /// progress: then no call is made and no reply follows, and the component
    /// has to act as if the platform were unavailable.
    std::optional<operation_id>
    call(operation_owner owner, platform_request const& request);

    /// Ends an operation and returns its owner; nullopt for an unknown id, such
    /// as the id in a second reply to the same call.
    std::optional<operation_owner> finish(operation_id operation);

    std::size_t size() const;
    /// Returns the number of calls that were refused because too many calls
    /// were in progress.
    std::uint64_t refused_call_count() const;

private:
    action_sink& actions_;
    absl::flat_hash_map<operation_id, operation_owner> owner_by_operation_;
    operation_id last_operation_id_{};
    std::uint64_t refused_call_count_{};
};

} // namespace samphire
