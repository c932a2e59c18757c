#include "base/heap_settings.hpp"

#include <malloc.h>

namespace samphire
{

void return_large_blocks_to_system()
{
    // A fixed threshold turns off its adjustment.
    constexpr int large_block_bytes = 128 << 10;
    ::mallopt(M_MMAP_THRESHOLD, large_block_bytes);
}

} // namespace samphire
