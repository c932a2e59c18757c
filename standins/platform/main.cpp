#include "base/duty_thread.hpp"
#include "base/stop_signals.hpp"
#include "platform/platform_server.hpp"
#include "platform/platform_setting_definitions.hpp"
#include "settings/program_settings.hpp"

int main(int argc, char** argv)
{
    using namespace samphire;
    settings_parser const parser(
        "standin-platform",
        "stand-in for the platform's object API",
        standin::platform_setting_definitions());
    int exit_code = 0;
    auto const settings = read_program_settings(parser, argc, argv, exit_code);
    if (!settings)
        return exit_code;
    stop_signals const signals;
    standin::platform_server server(standin::platform_settings_from(*settings));
    duty_thread const http("callers", [&] { server.run_server(); });
    duty_thread const store("store", [&] { server.run_store(); });
    signals.wait();
    server.stop();
    return 0;
}
