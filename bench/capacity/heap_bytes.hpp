#pragma once

#include <malloc.h>

namespace samphire::bench
{

/// Returns the number of bytes that are currently allocated from the C
/// library's allocator.
inline double heap_bytes()
{
    struct mallinfo2 const allocator_statistics = ::mallinfo2();
    return static_cast<double>(allocator_statistics.uordblks) +
           static_cast<double>(allocator_statistics.hblkhd);
}

} // namespace samphire::bench
