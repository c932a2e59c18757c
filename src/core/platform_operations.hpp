#pragma once

#include "base/operation_id.hpp"
#include "core/action_sink.hpp"
#include "core/platform_part.hpp"
#include "object_api/platform_request.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <optional>

namespace samphire
{

/// Platform calls in progress, over all parts of the decision object.
/// A part calls call() and keeps the returned number; the platform_replied of
/// that number is passed to the same part. Exactly one reply follows each
/// accepted call, also when the platform is out.
class platform_operations
{
public:
    /// Calls in progress, waiting watches included.
    static constexpr std::size_t capacity = 256;

    explicit platform_operations(action_sink& actions);

    /// Emits the call. Nothing when too many are in progress: no call was made
    /// and no reply follows, so the caller treats it as a platform that is out.
    std::optional<operation_id>
    call(platform_part part, platform_request const& request);

    /// Ends an operation and returns the part that asked; nothing for an
    /// unknown number, such as a second reply.
    std::optional<platform_part> finish(operation_id operation);

    std::size_t size() const;
    /// Calls that were refused because too many were in progress.
    std::uint64_t refused() const;

private:
    action_sink& actions_;
    absl::flat_hash_map<operation_id, platform_part> waiting_;
    operation_id last_{};
    std::uint64_t refused_{};
};

} // namespace samphire
