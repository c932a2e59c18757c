#include "base/stop_signals.hpp"
#include "console/console_process.hpp"
#include "console/console_settings.hpp"
#include "settings/program_settings.hpp"

#include <curl/curl.h>
#include <fmt/format.h>
#include <sodium.h>

#include <cstdio>
#include <exception>

int main(int argc, char** argv)
{
    using namespace samphire;
    settings_parser const parser(
        "samphire-console",
        "HTML forms for the policy document",
        console_setting_definitions());
    int exit_code = 0;
    auto const settings = read_program_settings(parser, argc, argv, exit_code);
    if (!settings)
        return exit_code;
    stop_signals const signals;
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL) != 0)
        return 1;
    try
    {
        console_process process(*settings);
        duty_thread const waiter(
            "signals",
            [&]
            {
                signals.wait();
                process.stop();
            });
        process.run();
    }
    catch (std::exception const& failure)
    {
        fmt::print(
            stderr,
            "level=error channel=console event=start_failed reason=\"{}\"\n",
            failure.what());
        return 1;
    }
    return 0;
}
