#pragma once

#include "base/bounded_ring.hpp"
#include "load/load_progress.hpp"

namespace samphire
{

/// Duty "progress": shows the state of the run on one line of a terminal.
class progress_line
{
public:
    progress_line();

    /// Drops the report when the terminal is slow.
    void report(load_progress progress)
    {
        reports_.try_push(progress);
    }

    void run();

    void stop()
    {
        reports_.close();
    }

private:
    bool const is_terminal_;
    bounded_ring<load_progress> reports_;
};

} // namespace samphire
