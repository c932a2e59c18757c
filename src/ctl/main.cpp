#include "ctl/ctl_settings.hpp"
#include "ctl/run_command.hpp"
#include "settings/program_settings.hpp"

#include <curl/curl.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <exception>

int main(int argc, char** argv)
{
    using namespace samphire;
    settings_parser const parser(
        "samphirectl",
        "validate FILE, apply FILE, status, drain DAEMON-HTTP-ADDRESS or "
        "explain ATTEMPT-ID LOG-FILE...",
        ctl_setting_definitions());
    command_line const line = split_command_line(argc, argv);
    int code = 0;
    auto const settings = read_program_settings(
        parser,
        static_cast<int>(line.program_and_flags_.size()),
        line.program_and_flags_.data(),
        code);
    if (!settings)
        return code;
    std::signal(SIGPIPE, SIG_IGN);
    if (curl_global_init(CURL_GLOBAL_ALL) != 0)
        return static_cast<int>(exit_code::refused);
    try
    {
        command_result const result = run_command(line, *settings);
        fmt::print("{}", result.output_);
        fmt::print(stderr, "{}", result.errors_);
        return static_cast<int>(result.code_);
    }
    catch (std::exception const& failure)
    {
        fmt::print(
            stderr,
            "level=error channel=ctl event=command_failed reason=\"{}\"\n",
            failure.what());
        return static_cast<int>(exit_code::refused);
    }
}
