#pragma once

#include "base/bounded_ring.hpp"
#include "operations/operation_result.hpp"

#include <cstddef>

namespace samphire
{

/// Passes results from the "platform" thread to the thread that waits for them.
class platform_results
{
public:
    explicit platform_results(std::size_t capacity) : ring_(capacity)
    {
    }

    void
    on_platform_result(operation_id operation, platform_result const& result)
    {
        ring_.push({operation, result});
    }

    /// Waits for the result of the operation and drops those of earlier
    /// operations. The status is `no_answer` when the timeout expires.
    platform_result wait_for(operation_id operation, absl::Duration timeout)
    {
        while (auto const received = ring_.pop(timeout))
        {
            if (received->operation_ == operation)
                return received->result_;
        }
        return {.status_ = platform_status::no_answer};
    }

    void close()
    {
        ring_.close();
    }

private:
    bounded_ring<operation_result> ring_;
};

} // namespace samphire
