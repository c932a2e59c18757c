#include "base/duty_thread.hpp"
#include "base/heap_settings.hpp"
#include "platform/platform_codecs.hpp"
#include "relay/relay_process.hpp"
#include "relay/relay_settings.hpp"
#include "relay/settings_file.hpp"
#include "relay/signal_watch.hpp"
#include "settings/program_settings.hpp"

#include <absl/time/clock.h>
#include <curl/curl.h>
#include <fmt/format.h>
#include <sodium.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <exception>
#include <random>
#include <string>
#include <string_view>
#include <unistd.h>

namespace
{

using namespace samphire;

// The settings file is polled, since it may change without a signal.
constexpr absl::Duration settings_check_interval = absl::Milliseconds(500);

/// Returns the path of the settings file from the environment; empty when none
/// is set.
std::string settings_path()
{
    char const* const path = std::getenv("SAMPHIRE_SETTINGS_FILE");
    return path ? path : "";
}

void watch_signals(
    signal_watch const& signals,
    settings_file const& file,
    settings_parser const& parser,
    int argc,
    char** argv,
    std::atomic<bool> const& process_ended,
    relay_process<platform_codecs>& process)
{
    std::string last_text = file.text();
    while (!process_ended.load(std::memory_order_relaxed))
    {
        auto const signal = signals.wait(settings_check_interval);
        if (process_ended.load(std::memory_order_relaxed))
            return;
        if (signal == signal_watch::kind::stop)
        {
            process.stop();
            continue;
        }
        std::string current_text = file.text();
        if (!signal && current_text == last_text)
            continue;
        last_text = std::move(current_text);
        parsed_settings const parsed = file.parse(parser, argc, argv);
        if (auto const* const values = std::get_if<setting_values>(&parsed))
            process.reload(*values);
        else
            process.write_log_line(
                "level=error channel=settings event=reload_refused");
    }
}

} // namespace

int main(int argc, char** argv)
{
    settings_parser const parser(
        "samphire-relay",
        "overload control for the upstream on this VM of the users' platform",
        relay_setting_definitions());
    settings_file const file(settings_path());
    int exit_code = 0;
    auto const settings =
        values_or_exit_code(file.parse(parser, argc, argv), exit_code);
    if (!settings)
        return exit_code;
    return_large_blocks_to_system();
    signal_watch const signals;
    if (::sodium_init() < 0 || ::curl_global_init(CURL_GLOBAL_ALL) != 0)
        return 1;
    try
    {
        std::random_device entropy;
        auto const random_u64 = [&]
        {
            return (std::uint64_t{entropy()} << 32) | entropy();
        };
        relay_process<platform_codecs> process(
            *settings, random_u64() | 1, random_u64());
        std::atomic<bool> process_ended{};
        duty_thread const signal_thread(
            "signals",
            [&] {
                watch_signals(
                    signals, file, parser, argc, argv, process_ended, process);
            });
        process.run();
        process_ended.store(true, std::memory_order_relaxed);
        // Wakes the signal thread, so that the process does not wait for the
        // timeout of that thread.
        ::kill(::getpid(), SIGHUP);
    }
    catch (std::exception const& failure)
    {
        fmt::print(
            "level=error channel=relay event=start_failed reason=\"{}\"\n",
            failure.what());
        return 1;
    }
    return 0;
}
