#include "core/product_daemon_core.hpp"
#include "daemon/daemon_main.hpp"

/// The daemon with every mechanism replaced by its baseline, for scripts that
/// show what the mechanisms are needed for.
int main(int argc, char** argv)
{
    return samphire::run_daemon_program<samphire::baseline_policies>(
        argc, argv);
}
