#include "base/duty_thread.hpp"
#include "base/stop_signals.hpp"
#include "settings/program_settings.hpp"
#include "upstream/upstream_server.hpp"
#include "upstream/upstream_setting_definitions.hpp"

#include <curl/curl.h>

int main(int argc, char** argv)
{
    using namespace samphire;
    settings_parser const parser(
        "standin-upstream",
        "stand-in for an upstream",
        standin::upstream_setting_definitions());
    int exit_code = 0;
    auto const settings = read_program_settings(parser, argc, argv, exit_code);
    if (!settings)
        return exit_code;
    stop_signals const signals;
    curl_global_init(CURL_GLOBAL_ALL);
    standin::upstream_server server(standin::upstream_settings_from(*settings));
    duty_thread const http("callers", [&] { server.run_server(); });
    duty_thread const client("client", [&] { server.run_client(); });
    duty_thread const work("work", [&] { server.run_work(); });
    signals.wait();
    server.stop();
    return 0;
}
