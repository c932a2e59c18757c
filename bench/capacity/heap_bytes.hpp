#pragma once

#include <malloc.h>

namespace samphire::bench
{

/// Returns the bytes that are allocated from the C library's allocator.
inline double heap_bytes()
{
    struct mallinfo2 const info = ::mallinfo2();
    return static_cast<double>(info.uordblks) +
           static_cast<double>(info.hblkhd);
}

} // namespace samphire::bench
