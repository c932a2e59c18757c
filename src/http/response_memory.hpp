#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>

namespace samphire
{

class http_transfer;

/// Bounds the bytes of all responses that one client receives. Beyond the
/// limit the largest response is given up, so that a response without end does
/// not take others with it.
class response_memory
{
public:
    explicit response_memory(std::size_t max_bytes) : max_bytes_(max_bytes)
    {
    }

    /// Records that the response of the transfer takes `bytes`; may give up
    /// this or other transfers.
    void update(http_transfer& transfer, std::size_t bytes);
    void remove(http_transfer& transfer);

private:
    std::size_t const max_bytes_;
    std::size_t total_bytes_{};
    absl::flat_hash_map<http_transfer*, std::size_t> bytes_by_transfer_;
};

} // namespace samphire
