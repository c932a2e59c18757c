#pragma once

namespace samphire
{

/// Makes the allocator return each large block to the system when it is freed.
/// Otherwise it raises the size from which it does so, and keeps the blocks of
/// bodies that have grown and ended, several times their size. Must be called
/// before other threads start.
void return_large_blocks_to_system();

} // namespace samphire
