#pragma once

#include "base/bounded_ring.hpp"
#include "base/operation_id.hpp"
#include "object_api/platform_result.hpp"

#include <absl/time/time.h>

#include <optional>

namespace samphire
{

/// Records the results of a platform gateway.
class result_recorder
{
public:
    void on_platform_result(operation_id, platform_result const& result)
    {
        results_.push(result);
    }

    /// Waits for the next result, at most 5 s.
    std::optional<platform_result> next()
    {
        return results_.pop(absl::Seconds(5));
    }

private:
    bounded_ring<platform_result> results_{64};
};

} // namespace samphire
