#pragma once

#include "base/duty_thread.hpp"
#include "base/heap_settings.hpp"
#include "base/stop_signals.hpp"
#include "daemon/daemon_process.hpp"
#include "daemon/daemon_settings.hpp"
#include "settings/program_settings.hpp"

#include <absl/time/clock.h>
#include <curl/curl.h>
#include <fmt/format.h>
#include <sodium.h>

#include <cstdio>
#include <exception>
#include <random>

namespace samphire
{

/// Runs a daemon with the strategies that Policies selects at compile time;
/// returns the exit code.
template <policies Policies>
int run_daemon_program(int argc, char** argv)
{
    settings_parser const parser(
        "samphire-daemon",
        "overload control for the upstream on this VM",
        daemon_setting_definitions());
    int exit_code = 0;
    auto const settings = read_program_settings(parser, argc, argv, exit_code);
    if (!settings)
        return exit_code;
    stop_signals const signals;
    return_large_blocks_to_system();
    if (::sodium_init() < 0 || ::curl_global_init(CURL_GLOBAL_ALL) != 0)
        return 1;
    try
    {
        // The start time in the high bits gives a later process of this daemon
        // a higher incarnation. Random low bits keep two incarnations distinct
        // if the clock was set back between them.
        constexpr unsigned random_bits = 20;
        std::random_device entropy;
        std::uint64_t const start_time_ms =
            static_cast<std::uint64_t>(absl::ToUnixMillis(absl::Now()));
        incarnation const own_incarnation(
            (start_time_ms << random_bits) |
            (entropy() & ((1u << random_bits) - 1)));
        daemon_process<Policies> process(
            *settings,
            own_incarnation,
            (std::uint64_t{entropy()} << 32) ^ entropy());
        duty_thread const signal_thread(
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
            "level=error channel=daemon event=start_failed reason=\"{}\"\n",
            failure.what());
        return 1;
    }
    return 0;
}

} // namespace samphire
