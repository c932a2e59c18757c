#pragma once

#include <ctime>

namespace samphire::bench
{

/// Returns the processor time of the calling thread in microseconds.
inline double processor_microseconds()
{
    timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 +
           static_cast<double>(time.tv_nsec) / 1e3;
}

} // namespace samphire::bench
