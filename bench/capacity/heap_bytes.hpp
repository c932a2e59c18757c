#pragma once

#include <malloc.h>

namespace samphire::bench
{

/// Bytes that the C library's allocator has handed out.
inline double heap_bytes()
{
    struct mallinfo2 const info = ::mallinfo2();
    return static_cast<double>(info.uordblks) +
           static_cast<double>(info.hblkhd);
}

} // namespace samphire::bench
