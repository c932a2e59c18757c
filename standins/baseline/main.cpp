#include "core/product_daemon_core.hpp"
#include "daemon/daemon_main.hpp"

/// Runs samphire-daemon with every mechanism replaced by its baseline, so that
/// scripts can show the effect of the mechanisms.
int main(int argc, char** argv)
{
    return samphire::run_daemon_program<samphire::baseline_policies>(
        argc, argv);
}
