#include "platform/platform_setting_definitions.hpp"

#include <array>

namespace samphire::standin
{

namespace
{

constexpr std::array definitions{
    setting_definition{
        .name_ = "http-address",
        .kind_ = setting_kind::address,
        .required_ = true,
        .help_ = "HTTP address of the object API"},
    setting_definition{
        .name_ = "seed",
        .kind_ = setting_kind::integer,
        .default_ = "1",
        .minimum_ = 0,
        .maximum_ = 1'000'000'000,
        .help_ = "seed of the random faults"},
    setting_definition{
        .name_ = "reads-limit",
        .kind_ = setting_kind::integer,
        .default_ = "2000",
        .minimum_ = 0,
        .maximum_ = 1'000'000,
        .help_ = "maximum reads per second, with each waiting watch counted as "
                 "one; 0 for no limit"},
    setting_definition{
        .name_ = "writes-limit",
        .kind_ = setting_kind::integer,
        .default_ = "500",
        .minimum_ = 0,
        .maximum_ = 1'000'000,
        .help_ = "maximum writes per second; 0 for no limit"},
    setting_definition{
        .name_ = "watch-ms",
        .kind_ = setting_kind::duration,
        .default_ = "10000",
        .minimum_ = 1,
        .maximum_ = 10000,
        .help_ = "maximum time that a watch waits"}};

} // namespace

std::span<setting_definition const> platform_setting_definitions()
{
    return definitions;
}

platform_settings platform_settings_from(setting_values const& values)
{
    return {
        .listen_ = values.address("http-address"),
        .seed_ = static_cast<std::uint64_t>(values.integer("seed")),
        .max_reads_per_s_ =
            static_cast<std::uint64_t>(values.integer("reads-limit")),
        .max_writes_per_s_ =
            static_cast<std::uint64_t>(values.integer("writes-limit")),
        .max_watch_time_ = values.duration("watch-ms")};
}

} // namespace samphire::standin
