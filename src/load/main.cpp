#include "base/duty_thread.hpp"
#include "load/load_result.hpp"
#include "load/load_run.hpp"
#include "load/load_settings.hpp"
#include "settings/program_settings.hpp"

#include <curl/curl.h>
#include <fmt/format.h>

#include <cstdio>
#include <fstream>

int main(int argc, char** argv)
{
    using namespace samphire;
    settings_parser const parser(
        "samphire-load",
        "open-loop load generator",
        load_setting_definitions());
    int exit_code = 0;
    auto const settings = read_program_settings(parser, argc, argv, exit_code);
    if (!settings)
        return exit_code;
    load_plan_result const plan = load_plan_from(*settings);
    if (!plan)
    {
        fmt::print(stderr, "samphire-load: {}\n", plan.error());
        return 2;
    }
    curl_global_init(CURL_GLOBAL_ALL);
    progress_line progress;
    load_run run(plan.value(), progress);
    {
        duty_thread const printer("progress", [&] { progress.run(); });
        duty_thread const client("client", [&] { run.run_client(); });
        run.run_calls();
        progress.stop();
    }
    fmt::print("{}", format_load_table(plan.value(), run.records()));
    std::string const json =
        format_load_json(plan.value(), run.records(), run.recovery());
    std::string const file = settings->text("json");
    if (file.empty())
        fmt::print("{}", json);
    else
        std::ofstream(file) << json;
    return 0;
}
