#include "core/product_daemon_core.hpp"
#include "daemon/daemon_main.hpp"

int main(int argc, char** argv)
{
    return samphire::run_daemon_program<samphire::product_policies>(argc, argv);
}
